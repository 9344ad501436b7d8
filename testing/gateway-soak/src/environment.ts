/** Environment of a soak round: gateway processes, servers and a store behind proxies. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import {
	configuration, isReady, startGatewayFleet, startGatewayProcess, startUnreachableServer, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet, GatewayProcess} from '@pomelopick/testing.gateway-fleet';
import type {Draw} from './draw.js';
import type {Keyring} from './keyring.js';
import type {Violation} from './call-check.js';
import {describeOutput, findEndFailure, watchSilence} from './gateway-watch.js';
import type {Disturbance} from './notice-check.js';

/** Minimum time for which a server announces that it leaves, in milliseconds. It is longer than the time in which the server may still get requests. */
const MIN_LEAVING_MS = 3000;
/** Time for which a server that accepted late is used at that address, in milliseconds. */
const LATE_ACCEPTED_MS = 2000;
/** Start time that all servers register at first, in milliseconds. */
const FIRST_START_MS = 1000;
/** Maximum number of ends of their own of gateways that are reported. */
const MAX_REPORTED_ENDS = 12;
/** Offset that keeps the seeds of the paths to the store apart from those of the paths to servers. */
const STORE_SEED_OFFSET = 500;

/** Failure domains, assigned to gateways in turn. */
const domains = ['north-a', 'north-b', 'south-a'] as const;

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
	/** Keys of the callers; undefined: callers are not authenticated. */
	readonly keyring?: Keyring;
}

/** Starts the store, the servers and the gateways of a round. Stops all of them and rejects if a gateway does not become ready in time. */
export async function startEnvironment({seed, gateways, servers, keyring}: StartEnvironmentOptions): Promise<SoakEnvironment> {
	const environment = new SoakEnvironment(await startGatewayFleet({servers: []}), keyring);
	environment.publish({});
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

/** A server that a fault strikes, and how long the fault lasts, in milliseconds. */
export interface ServerFaultOptions {
	readonly number: number;
	readonly durationMs: number;
}

/** Options of {@link SoakEnvironment.restartBehindCut}. */
export interface RestartBehindCutOptions extends ServerFaultOptions {
	/** Time from the end of the cut until the store has the entry of the new start, in milliseconds. */
	readonly registersAfterMs: number;
	/** Time for which the server warms up from the end of the cut, in milliseconds. */
	readonly warmupMs: number;
}

/** Processes and proxies of a soak round. */
export class SoakEnvironment {
	readonly members: Member[] = [];
	/** Periods in which faults affected gateways and paths. */
	readonly disturbances: Disturbance[] = [];
	/** Proxies in front of the servers, by their numbers. */
	readonly serverPaths: FaultProxy[] = [];
	readonly #failures: Violation[] = [];
	readonly #endedLines: Array<Readonly<Record<string, unknown>>> = [];
	/** Number of restarts of each server. */
	readonly #restartCounts = new Map<number, number>();
	readonly #stopped = new AbortController();
	#version = 1;

	constructor(readonly fleet: GatewayFleet, readonly keyring?: Keyring) {}

	/** Publishes the version of the configuration that is due, with the keys that are valid now. */
	publish({timeoutSeconds}: {readonly timeoutSeconds?: number}): void {
		this.fleet.write('op/config', configuration({version: this.#version, timeoutSeconds, organisations: this.keyring?.organisations}));
	}

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
		this.serverPaths.push(proxy);
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
		for (const proxy of this.serverPaths) {
			proxy.set(faults);
		}
	}

	/** Returns the log lines of events from all gateways, those of processes that have exited first. */
	listLines(...events: readonly string[]): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return [...this.#endedLines, ...this.members.flatMap(({process}) => process.lines)].filter(line => events.includes(String(line.event)));
	}

	/** Restarts a server under its name at an address whose queue of connections is full at first, and then at its own. */
	async acceptLate({number, durationMs}: ServerFaultOptions): Promise<void> {
		const unreachable = await startUnreachableServer({name: serverName(number), target: this.serverPaths[number]!.endpoint});
		this.#restartServer({number, port: unreachable.port});
		await sleep(durationMs);
		unreachable.accept();
		await sleep(LATE_ACCEPTED_MS);
		this.#restartServer({number});
		await sleep(LATE_ACCEPTED_MS);
		await unreachable.stop();
	}

	/** Writes another version of the configuration. */
	changeConfiguration(draw: Draw): void {
		this.#version += 1 + draw(3);
		const endReplaced = this.keyring?.rotate();
		this.publish({timeoutSeconds: 1 + draw(2)});
		endReplaced?.();
	}

	/** Lets a server announce in its responses only, not in the store, that it leaves, and then restart under its name. */
	async announceLeavingAndRestart({number, durationMs}: ServerFaultOptions): Promise<void> {
		const server = this.fleet.servers[number]!;
		server.setLeaving(true);
		await sleep(MIN_LEAVING_MS + durationMs);
		this.#restartServer({number});
	}

	/** Registers a server as draining for a time. */
	async drainAndReturn({number, durationMs}: ServerFaultOptions): Promise<void> {
		this.#register({number, state: 'draining'});
		await sleep(durationMs);
		this.#register({number, state: 'ready'});
	}

	/** Registers a state of a server. */
	setState({number, state}: {readonly number: number; readonly state: 'ready' | 'draining'}): void {
		this.#register({number, state});
	}

	/** Registers all servers anew, as their heartbeats would; they say for how long they still warm up, in milliseconds. */
	registerServers({warmupLeftMs = 0}: {readonly warmupLeftMs?: number} = {}): void {
		for (const number of this.serverPaths.keys()) {
			this.#register({number, state: 'ready', warmupLeftMs});
		}
	}

	/** Cuts a server off from all gateways; it starts anew meanwhile, warms up, and registers some time after the end of the cut. */
	async restartBehindCut({number, durationMs, registersAfterMs, warmupMs}: RestartBehindCutOptions): Promise<void> {
		const path = this.serverPaths[number]!;
		path.set({cut: true});
		await sleep(durationMs);
		this.fleet.servers[number]!.startAnew();
		this.fleet.servers[number]!.warmUp(warmupMs);
		path.set({cut: false});
		await sleep(registersAfterMs, undefined, {ref: false});
		if (!this.#stopped.signal.aborted) {
			this.#restartCounts.set(number, (this.#restartCounts.get(number) ?? 0) + 1);
			this.#register({number, state: 'ready', warmupLeftMs: Math.max(0, warmupMs - registersAfterMs)});
		}
	}

	/** Stops all processes and proxies. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		await Promise.all(this.members.map(async ({process}) => process.stop()));
		await Promise.all([...this.serverPaths, ...this.members.map(({storePath}) => storePath)].map(async proxy => proxy.stop()));
		await this.fleet.stop();
	}

	#register({number, state, port = this.serverPaths[number]!.endpoint.port, warmupLeftMs}: {readonly number: number; readonly state: 'ready' | 'draining'; readonly port?: number; readonly warmupLeftMs?: number}): void {
		this.fleet.register({
			server: {name: serverName(number), port}, failureDomain: number % 2 === 0 ? 'north-a' : 'north-b', state, startedAtMs: FIRST_START_MS + (this.#restartCounts.get(number) ?? 0), warmupLeftMs,
		});
	}

	/** Registers a new start of a server, which announces nothing of what the one before did. */
	#restartServer({number, port}: {readonly number: number; readonly port?: number}): void {
		this.fleet.servers[number]!.startAnew();
		this.#restartCounts.set(number, (this.#restartCounts.get(number) ?? 0) + 1);
		this.#register({number, state: 'ready', port});
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

/** Name of a server. */
export function serverName(number: number): string {
	return `server-${number}`;
}
