/** Environment of a soak round: gateway processes, servers and a store behind proxies, and the faults that are injected. */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import {
	configuration, endpointOf, isReady, startGatewayFleet, startGatewayProcess, startUnreachableServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';
import type {Violation} from './call-check.js';
import {describeOutput, findEndFailure, watchSilence} from './gateway-watch.js';
import type {Disturbance} from './notice-check.js';
import {drawOddEntry} from './odd-entries.js';

/** Range of the random time added to the minimum duration of a fault, in milliseconds. */
const FAULT_JITTER_MS = 1200;
const MIN_FAULT_MS = 100;
const SLOW_STORE_MS = 300;
/** Minimum time for which a server announces that it leaves, in milliseconds. It is longer than the time in which the server may still get requests. */
const MIN_LEAVING_MS = 3000;
const MIN_PAUSE_MS = 1000;
/** Time for which a server that accepted late is used at that address, in milliseconds. */
const LATE_ACCEPTED_MS = 2000;
/** Start time that all servers register at first, in milliseconds. */
const FIRST_START_MS = 1000;
/** Maximum number of odd entries that are written at once. */
const MAX_ODD_ENTRIES = 60;
const KILLS = 3;
/** Maximum number of ends of their own of gateways that are reported. */
const MAX_REPORTED_ENDS = 12;
/** Offset that keeps the seeds of the paths to the store apart from those of the paths to servers. */
const STORE_SEED_OFFSET = 500;

/** Failure domains, assigned to gateways in turn. */
const domains = ['north-a', 'north-b', 'south-a'] as const;

/** Names of the faults. */
export const faultNames = [
	'kill',
	'kill-series',
	'port-taken',
	'pause',
	'terminate',
	'reload',
	'store-outage',
	'store-silent',
	'store-slow',
	'store-forgets',
	'store-returns-older',
	'odd-entries',
	'store-path-cut',
	'store-path-silent',
	'path-cut',
	'path-silent',
	'path-delayed',
	'server-leaves',
	'server-says-it-leaves',
	'server-asks-pause',
	'server-accepts-late',
	'configuration',
] as const;

/** Name of a fault. */
export type FaultName = typeof faultNames[number];

/** A gateway of the round. */
export interface Member {
	readonly settings: GatewaySettingsInput;
	/** Proxy between this gateway and the store. */
	readonly storePath: FaultProxy;
	process: GatewayProcess;
	/** Runs after the process has ended and before it is started again. */
	beforeRestart?: () => Promise<void>;
}

/** Options of {@link startEnvironment}. */
export interface StartEnvironmentOptions {
	readonly seed: number;
	readonly gateways: number;
	readonly servers: number;
}

/** Starts the store, the servers and the gateways of a round. Stops all of them and rejects if a gateway does not become ready in time. */
export async function startEnvironment({seed, gateways, servers}: StartEnvironmentOptions): Promise<SoakEnvironment> {
	const environment = new SoakEnvironment(await startGatewayFleet({servers: []}));
	try {
		for (let number = 0; number < servers; number += 1) {
			await environment.addServer({number, seed});
		}

		for (let number = 0; number < gateways; number += 1) {
			await environment.addGateway({number, seed});
		}

		await environment.untilReady();
		return environment;
	} catch (error) {
		await environment.stop();
		throw error;
	}
}

/** Processes and proxies of a soak round. */
export class SoakEnvironment {
	readonly members: Member[] = [];
	/** Periods in which faults affected gateways and paths. */
	readonly disturbances: Disturbance[] = [];
	readonly #proxies: FaultProxy[] = [];
	readonly #failures: Violation[] = [];
	readonly #endedLines: Array<Readonly<Record<string, unknown>>> = [];
	/** Number of restarts of each server. */
	readonly #restartCounts = new Map<number, number>();
	readonly #stopped = new AbortController();
	#version = 1;

	constructor(readonly fleet: GatewayFleet) {}

	/** Starts a gateway and restarts it whenever it exits. */
	async addGateway({number, seed}: {readonly number: number; readonly seed: number}): Promise<void> {
		const storePath = await startFaultProxy({target: this.fleet.platform.endpoint, seed: seed + STORE_SEED_OFFSET + number});
		const {address, port} = storePath.endpoint;
		const ownSettings = await this.fleet.settings({instance: `gateway-${number}`, failureDomain: domains[number % domains.length], shutdownSeconds: 2});
		const settings = {...ownSettings, store: `${address}:${port}`};
		const member: Member = {settings, storePath, process: await startGatewayProcess({settings})};
		this.members.push(member);
		void this.#keepRunning(member);
		void watchSilence({
			gateway: member, signal: this.#stopped.signal, onSilence: violation => {
				this.#failures.push(violation);
			},
		});
	}

	/** Starts a server behind a proxy and registers it. */
	async addServer({number, seed}: {readonly number: number; readonly seed: number}): Promise<void> {
		const server = await this.fleet.addServer({name: serverName(number), failureDomain: number % 2 === 0 ? 'north-a' : 'north-b'});
		const proxy = await startFaultProxy({target: {address: '127.0.0.1', port: server.port}, seed: seed + number});
		this.#proxies.push(proxy);
		this.#register({number, state: 'ready'});
	}

	/** Waits for all gateways to be ready. Returns a violation, with the output, for each gateway that failed or does not become ready. */
	async listGatewayFailures(): Promise<readonly Violation[]> {
		try {
			await this.untilReady();
			return this.#failures;
		} catch {
			const ready = await Promise.all(this.members.map(async ({settings}) => isReady(settings)));
			return [...this.#failures, ...this.members.filter((_, index) => !ready[index]).map(({settings, process}): Violation => ({
				requestId: '',
				kind: 'instance-not-ready',
				detail: `${settings.instance}, ${process.hasExited() ? 'exited' : 'running'}: ${describeOutput(process)}`,
			}))];
		}
	}

	/** Resolves when all gateways report that they are ready. */
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

	/** Returns the log lines of an event from all gateways, including processes that have exited. */
	listLines(event: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return [...this.#endedLines, ...this.members.flatMap(({process}) => process.lines)].filter(line => line.event === event);
	}

	/** Injects a fault. Resolves when it has ended. */
	async injectFault({name, draw}: {readonly name: FaultName; readonly draw: Draw}): Promise<void> {
		const member = this.members[draw(this.members.length)]!;
		const number = draw(this.#proxies.length);
		const proxy = this.#proxies[number]!;
		const durationMs = MIN_FAULT_MS + draw(FAULT_JITTER_MS);
		const fromMs = performance.now();
		const {faults, keyValues} = this.fleet.platform;
		const injectors: Record<FaultName, () => Promise<void>> = {
			async kill() {
				member.process.signal('SIGKILL');
			},
			async 'kill-series'() {
				for (let kill = 0; kill < KILLS; kill += 1) {
					member.process.signal('SIGKILL');
					await sleep(durationMs);
				}
			},
			'port-taken': async () => takePort({member, port: draw(LISTENERS), durationMs}),
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
				keyValues.compactHistory();
			},
			async 'store-returns-older'() {
				const copy = keyValues.copy();
				await sleep(durationMs);
				faults.outage = true;
				await sleep(MIN_FAULT_MS + draw(FAULT_JITTER_MS));
				keyValues.returnTo(copy);
				faults.outage = false;
			},
			'odd-entries': async () => this.#writeOddEntries({draw, durationMs}),
			'store-path-cut': async () => applyPathFaults({path: member.storePath, faults: {cut: true}, durationMs}),
			async 'store-path-silent'() {
				silenceOpenConnections(member.storePath);
			},
			'path-cut': async () => applyPathFaults({path: proxy, faults: {cut: true}, durationMs}),
			async 'path-silent'() {
				silenceOpenConnections(proxy);
			},
			'path-delayed': async () => applyPathFaults({path: proxy, faults: {delayMs: 100, jitterMs: 100}, durationMs}),
			'server-leaves': async () => this.#drainAndReturn({number: draw(this.#proxies.length), durationMs}),
			'server-says-it-leaves': async () => this.#announceLeavingAndRestart({number, durationMs}),
			'server-asks-pause': async () => {
				this.fleet.servers[number]!.requestPause(MIN_PAUSE_MS + durationMs);
			},
			'server-accepts-late': async () => this.acceptLate({number, durationMs}),
			configuration: async () => this.#changeConfiguration(draw),
		};
		await injectors[name]();
		this.disturbances.push({
			subject: name.startsWith('path-') ? serverName(number) : member.settings.instance, fault: name, fromMs, toMs: performance.now(),
		});
	}

	/** Restarts a server under its name at an address whose queue of connections is full at first, and then at its own. */
	async acceptLate({number, durationMs}: {readonly number: number; readonly durationMs: number}): Promise<void> {
		const unreachable = await startUnreachableServer({name: serverName(number), target: this.#proxies[number]!.endpoint});
		this.#restartServer({number, port: unreachable.port});
		await sleep(durationMs);
		unreachable.accept();
		await sleep(LATE_ACCEPTED_MS);
		this.#restartServer({number});
		await sleep(LATE_ACCEPTED_MS);
		await unreachable.stop();
	}

	/** Stops all processes and proxies. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		await Promise.all(this.members.map(async ({process}) => process.stop()));
		await Promise.all([...this.#proxies, ...this.members.map(({storePath}) => storePath)].map(async proxy => proxy.stop()));
		await this.fleet.stop();
	}

	#register({number, state, port = this.#proxies[number]!.endpoint.port}: {readonly number: number; readonly state: 'ready' | 'draining'; readonly port?: number}): void {
		this.fleet.register({
			server: {name: serverName(number), port}, failureDomain: number % 2 === 0 ? 'north-a' : 'north-b', state, startedAtMs: FIRST_START_MS + (this.#restartCounts.get(number) ?? 0),
		});
	}

	async #changeConfiguration(draw: Draw): Promise<void> {
		this.#version += 1 + draw(3);
		this.fleet.write('op/config', configuration({version: this.#version, timeoutSeconds: 1 + draw(2)}));
	}

	/** Lets a server announce in its responses only, not in the store, that it leaves, and then restart under its name. */
	async #announceLeavingAndRestart({number, durationMs}: {readonly number: number; readonly durationMs: number}): Promise<void> {
		const server = this.fleet.servers[number]!;
		server.setLeaving(true);
		await sleep(MIN_LEAVING_MS + durationMs);
		this.#restartServer({number});
	}

	/** Registers a new start of a server, which announces nothing of what the one before did. */
	#restartServer({number, port}: {readonly number: number; readonly port?: number}): void {
		this.fleet.servers[number]!.startAnew();
		this.#restartCounts.set(number, (this.#restartCounts.get(number) ?? 0) + 1);
		this.#register({number, state: 'ready', port});
	}

	async #drainAndReturn({number, durationMs}: {readonly number: number; readonly durationMs: number}): Promise<void> {
		this.#register({number, state: 'draining'});
		await sleep(durationMs);
		this.#register({number, state: 'ready'});
	}

	/** Writes odd entries among those of the servers, some over those of living ones, and sets the entries right again. */
	async #writeOddEntries({draw, durationMs}: {readonly draw: Draw; readonly durationMs: number}): Promise<void> {
		const {keyValues} = this.fleet.platform;
		const count = 1 + draw(1 + draw(MAX_ODD_ENTRIES));
		const entries = Array.from({length: count}, () => drawOddEntry({draw, livingIds: this.fleet.servers.map(({name}) => name)}));
		for (const entry of entries) {
			keyValues.put(entry);
		}

		await sleep(durationMs);
		for (const {key} of entries) {
			keyValues.delete({key});
		}

		for (const number of this.#proxies.keys()) {
			this.#register({number, state: 'ready'});
		}
	}

	/** Restarts a gateway whenever it exits, as the platform does. An end of its own is a violation and excuses nothing. */
	async #keepRunning(member: Member): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const failure = await findEndFailure(member);
			this.#endedLines.push(...member.process.lines);
			const endedAtMs = performance.now();
			this.disturbances.push({
				subject: member.settings.instance, fault: member.process.wasToldToEnd() ? 'kill' : 'own-end', fromMs: endedAtMs, toMs: endedAtMs,
			});
			if (this.#stopped.signal.aborted) {
				return;
			}

			if (failure && this.#failures.length < MAX_REPORTED_ENDS) {
				this.#failures.push(failure);
			}

			await member.beforeRestart?.();
			member.beforeRestart = undefined;
			member.process = await startGatewayProcess({settings: member.settings});
			if (this.#stopped.signal.aborted) {
				await member.process.stop();
			}
		}
	}
}

/** Number of addresses on which a gateway listens. */
const LISTENERS = 5;

/** Kills a gateway and occupies one of its ports for a time, during which it is started again. */
async function takePort({member, port, durationMs}: {readonly member: Member; readonly port: number; readonly durationMs: number}): Promise<void> {
	const {address, port: taken} = endpointOf(Object.values(member.settings.listen)[port]!);
	const occupant = createServer(socket => {
		socket.destroy();
	});
	member.beforeRestart = async () => {
		await new Promise<void>(resolve => {
			// The port may still be taken by an earlier fault.
			occupant.once('error', () => {
				resolve();
			});
			occupant.listen(taken, address, resolve);
		});
		setTimeout(() => {
			occupant.close();
		}, durationMs);
	};

	member.process.signal('SIGKILL');
	await sleep(durationMs);
}

function serverName(number: number): string {
	return `server-${number}`;
}

const noPathFaults: Partial<PathFaults> = {cut: false, delayMs: 0, jitterMs: 0};

async function applyPathFaults({path, faults, durationMs}: {readonly path: FaultProxy; readonly faults: Partial<PathFaults>; readonly durationMs: number}): Promise<void> {
	path.set(faults);
	await sleep(durationMs);
	path.set(noPathFaults);
}

/** Silences the connections that are open now permanently. New connections work. */
function silenceOpenConnections(path: FaultProxy): void {
	path.set({silentToClient: true});
	path.set({silentToClient: false});
}
