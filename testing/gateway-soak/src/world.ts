/** Gateways as processes, servers and a store behind proxies, and the faults that strike them. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import {
	configuration, isReady, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';
import type {Violation} from './judge.js';
import type {Disturbance} from './notice-judge.js';

const LONGEST_FAULT_MS = 1200;
const SHORTEST_FAULT_MS = 100;
const SLOW_STORE_MS = 300;
/** Time for which a server at least says that it leaves, in milliseconds: longer than it still may get requests. */
const LEAVING_MS = 3000;
const SHORTEST_PAUSE_MS = 1000;
/** Time of the first start of all servers, in milliseconds. */
const FIRST_START_MS = 1000;
/** Lines of a gateway's log that are shown when it is not ready in the end. */
const LAST_LINES = 20;
/** Seeds of the paths to the store lie apart from those of the paths to servers by this much. */
const STORE_SEED_OFFSET = 500;

/** Failure domains of the gateways, in turn. */
const domains = ['north-a', 'north-b', 'south-a'] as const;

/** Faults by name. */
export const faultNames = [
	'kill',
	'pause',
	'terminate',
	'reload',
	'store-outage',
	'store-silent',
	'store-slow',
	'store-forgets',
	'store-path-cut',
	'store-path-silent',
	'path-cut',
	'path-silent',
	'path-delayed',
	'server-leaves',
	'server-says-it-leaves',
	'server-asks-pause',
	'configuration',
] as const;

/** Name of a fault. */
export type FaultName = typeof faultNames[number];

/** A gateway of the round. */
export interface Member {
	readonly settings: GatewaySettingsInput;
	/** This gateway's own path to the store. */
	readonly storePath: FaultProxy;
	process: GatewayProcess;
}

/** Options of {@link startWorld}. */
export interface StartWorldOptions {
	readonly seed: number;
	readonly gateways: number;
	readonly servers: number;
}

/** Starts the store, the servers and the gateways of a round. */
export async function startWorld({seed, gateways, servers}: StartWorldOptions): Promise<World> {
	const world = new World(await startGatewayFleet({servers: []}));
	for (let number = 0; number < servers; number += 1) {
		await world.addServer({number, seed});
	}

	for (let number = 0; number < gateways; number += 1) {
		await world.addGateway({number, seed});
	}

	await world.untilReady();
	return world;
}

/** The processes of a round. */
export class World {
	readonly members: Member[] = [];
	/** When gateways and paths were disturbed so far. */
	readonly disturbances: Disturbance[] = [];
	readonly #proxies: FaultProxy[] = [];
	readonly #failures: Violation[] = [];
	readonly #endedLines: Array<Readonly<Record<string, unknown>>> = [];
	/** How often each server started anew. */
	readonly #starts = new Map<number, number>();
	#version = 1;
	#isStopping = false;

	constructor(readonly fleet: GatewayFleet) {}

	/** Starts a gateway and keeps it going. */
	async addGateway({number, seed}: {readonly number: number; readonly seed: number}): Promise<void> {
		const storePath = await startFaultProxy({target: this.fleet.platform.endpoint, seed: seed + STORE_SEED_OFFSET + number});
		const {address, port} = storePath.endpoint;
		const own = await this.fleet.settings({instance: `gateway-${number}`, failureDomain: domains[number % domains.length], shutdownSeconds: 2});
		const settings = {...own, store: `${address}:${port}`};
		const member: Member = {settings, storePath, process: await startGatewayProcess({settings})};
		this.members.push(member);
		void this.#keep(member);
	}

	/** Starts a server behind a proxy and registers it. */
	async addServer({number, seed}: {readonly number: number; readonly seed: number}): Promise<void> {
		const server = await this.fleet.addServer({name: serverName(number), failureDomain: number % 2 === 0 ? 'north-a' : 'north-b'});
		const proxy = await startFaultProxy({target: {address: '127.0.0.1', port: server.port}, seed: seed + number});
		this.#proxies.push(proxy);
		this.#register({number, state: 'ready'});
	}

	/** Waits for all gateways to be ready; answers those that do not come to be, with what they said. */
	async listStuck(): Promise<readonly Violation[]> {
		try {
			await this.untilReady();
			return this.#failures;
		} catch {
			const ready = await Promise.all(this.members.map(async ({settings}) => isReady(settings)));
			return [...this.#failures, ...this.members.filter((_, index) => !ready[index]).map(({settings, process}): Violation => ({
				requestId: '',
				kind: 'instance-not-ready',
				detail: `${settings.instance}, ${process.hasExited() ? 'ended by itself' : 'running'}: ${process.errors.join('')} ${JSON.stringify(process.lines.slice(-LAST_LINES))}`,
			}))];
		}
	}

	/** Resolves when all gateways say that they are ready. */
	async untilReady(): Promise<void> {
		await until(async () => {
			const ready = await Promise.all(this.members.map(async ({settings}) => isReady(settings)));
			return ready.every(Boolean);
		});
	}

	/** Changes the faults of all paths to servers. */
	setServerPaths(faults: Partial<PathFaults>): void {
		for (const proxy of this.#proxies) {
			proxy.set(faults);
		}
	}

	/** Lines of an event that the gateways have written, those that have ended included. */
	listLines(event: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return [...this.#endedLines, ...this.members.flatMap(({process}) => process.lines)].filter(line => line.event === event);
	}

	/** Brings a fault about and ends it; resolves when all is as before. */
	async bringAbout({name, draw}: {readonly name: FaultName; readonly draw: Draw}): Promise<void> {
		const member = this.members[draw(this.members.length)]!;
		const number = draw(this.#proxies.length);
		const proxy = this.#proxies[number]!;
		const durationMs = SHORTEST_FAULT_MS + draw(LONGEST_FAULT_MS);
		const fromMs = performance.now();
		const {faults, keyValues} = this.fleet.platform;
		const bring: Record<FaultName, () => Promise<void>> = {
			async kill() {
				member.process.signal('SIGKILL');
			},
			async terminate() {
				member.process.signal('SIGTERM');
			},
			async reload() {
				member.process.signal('SIGHUP');
			},
			async pause() {
				member.process.signal('SIGSTOP');
				await sleep(durationMs);
				member.process.signal('SIGCONT');
			},
			async 'store-outage'() {
				faults.outage = true;
				await sleep(durationMs);
				faults.outage = false;
			},
			async 'store-silent'() {
				faults.silent = true;
				await sleep(durationMs);
				faults.silent = false;
			},
			async 'store-slow'() {
				faults.slownessMs = SLOW_STORE_MS;
				await sleep(durationMs);
				faults.slownessMs = 0;
			},
			async 'store-forgets'() {
				keyValues.forgetHistory();
			},
			'store-path-cut': async () => holdPath({path: member.storePath, faults: {cut: true}, durationMs}),
			async 'store-path-silent'() {
				silenceOpen(member.storePath);
			},
			'path-cut': async () => holdPath({path: proxy, faults: {cut: true}, durationMs}),
			async 'path-silent'() {
				silenceOpen(proxy);
			},
			'path-delayed': async () => holdPath({path: proxy, faults: {delayMs: 100, jitterMs: 100}, durationMs}),
			'server-leaves': async () => this.#leaveAndComeBack({number: draw(this.#proxies.length), durationMs}),
			'server-says-it-leaves': async () => this.#sayLeavingAndStartAnew({number, durationMs}),
			'server-asks-pause': async () => {
				this.fleet.servers[number]!.askPause(SHORTEST_PAUSE_MS + durationMs);
			},
			configuration: async () => this.#changeConfiguration(draw),
		};
		await bring[name]();
		this.disturbances.push({
			subject: name.startsWith('path-') ? serverName(number) : member.settings.instance, fault: name, fromMs, toMs: performance.now(),
		});
	}

	/** Ends all processes and paths. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.members.map(async ({process}) => process.stop()));
		await Promise.all([...this.#proxies, ...this.members.map(({storePath}) => storePath)].map(async proxy => proxy.stop()));
		await this.fleet.stop();
	}

	#register({number, state}: {readonly number: number; readonly state: 'ready' | 'draining'}): void {
		this.fleet.register({
			server: {name: serverName(number), port: this.#proxies[number]!.endpoint.port}, failureDomain: number % 2 === 0 ? 'north-a' : 'north-b', state, startedAtMs: FIRST_START_MS + (this.#starts.get(number) ?? 0),
		});
	}

	async #changeConfiguration(draw: Draw): Promise<void> {
		this.#version += 1 + draw(3);
		this.fleet.write('op/config', configuration({version: this.#version, timeoutSeconds: 1 + draw(2)}));
	}

	/** A server leaves by its own word alone, and starts anew under its name. */
	async #sayLeavingAndStartAnew({number, durationMs}: {readonly number: number; readonly durationMs: number}): Promise<void> {
		const server = this.fleet.servers[number]!;
		server.setLeaving(true);
		await sleep(LEAVING_MS + durationMs);
		server.setLeaving(false);
		this.#starts.set(number, (this.#starts.get(number) ?? 0) + 1);
		this.#register({number, state: 'ready'});
	}

	async #leaveAndComeBack({number, durationMs}: {readonly number: number; readonly durationMs: number}): Promise<void> {
		this.#register({number, state: 'draining'});
		await sleep(durationMs);
		this.#register({number, state: 'ready'});
	}

	/** Starts a gateway again whenever it ends, as the platform does; one that fails by itself is a violation. */
	async #keep(member: Member): Promise<void> {
		while (!this.#isStopping) {
			const code = await member.process.exited;
			this.#endedLines.push(...member.process.lines);
			const endedAtMs = performance.now();
			this.disturbances.push({
				subject: member.settings.instance, fault: 'kill', fromMs: endedAtMs, toMs: endedAtMs,
			});
			if (this.#isStopping) {
				return;
			}

			if (code !== undefined && code !== 0) {
				this.#failures.push({requestId: '', kind: 'instance-failed', detail: `${member.settings.instance} ended with code ${code}: ${member.process.errors.join('')}`});
			}

			member.process = await startGatewayProcess({settings: member.settings});
		}
	}
}

function serverName(number: number): string {
	return `server-${number}`;
}

const noPathFaults: Partial<PathFaults> = {cut: false, delayMs: 0, jitterMs: 0};

async function holdPath({path, faults, durationMs}: {readonly path: FaultProxy; readonly faults: Partial<PathFaults>; readonly durationMs: number}): Promise<void> {
	path.set(faults);
	await sleep(durationMs);
	path.set(noPathFaults);
}

/** Connections that are open now go silent for good; new ones work. */
function silenceOpen(path: FaultProxy): void {
	path.set({silentToClient: true});
	path.set({silentToClient: false});
}
