/** Test fleet: a store, backend servers, and settings for gateways that use them. */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Endpoint} from '@pomelopick/core.types';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {configuration} from './configuration.js';
import {startRegisteredServer} from './registered-server.js';
import type {RegisteredServer} from './registered-server.js';
import type {ServerRecords} from './serve-request.js';

/** Maximum time to wait for a condition or for a free port. */
const CONDITION_TIMEOUT_MS = 15_000;
const POLL_MS = 10;
const SLOTS = 4;
/** Lowest value of an octet in a gateway's loopback address, and number of values that are used. */
const MIN_OCTET = 2;
const OCTET_COUNT = 250;

const MILLISECONDS_PER_SECOND = 1000;
/** Wall-clock time that a server registers as its first start, in milliseconds. */
const FIRST_START_MS = 1000;
/** Time after which a crashed server restarts, in milliseconds. */
const RESTART_MS = 1500;
/** Time after which a server that fell silent restarts, in milliseconds. */
const SILENT_RESTART_MS = 3000;

/** Retry budget of each service over the whole fleet, as the users specify it. */
export const RETRY_BUDGET = {ratio: 0.2, allowance: 56, windowMs: 10_000} as const;

/** Region of each failure domain. */
export const regions = {
	'north-a': 'north', 'north-b': 'north', 'south-a': 'south',
} as const;

/** A failure domain of the fleet. */
export type FleetDomain = keyof typeof regions;

/** Options of {@link startGatewayFleet}. */
export interface StartGatewayFleetOptions {
	/** Failure domains of the servers. */
	readonly servers?: readonly FleetDomain[];
}

/** Starts a store with a configuration, and starts and registers servers. */
export async function startGatewayFleet({servers = ['north-a', 'north-a', 'north-b']}: StartGatewayFleetOptions = {}): Promise<GatewayFleet> {
	const fleet = new GatewayFleet(await startPlatformStandIn({limits: {readsPerSecond: 100_000, writesPerSecond: 100_000}}));
	fleet.write('op/config', configuration({version: 1}));
	for (const [index, failureDomain] of servers.entries()) {
		await fleet.addServer({name: `server-${index}`, failureDomain});
	}

	return fleet;
}

/** Options of {@link GatewayFleet.settings}. */
export interface FleetSettingsOptions {
	readonly instance?: string;
	readonly failureDomain?: FleetDomain;
	readonly shutdownSeconds?: number;
}

/** Options of {@link GatewayFleet.addRestartingServer}. */
export interface AddRestartingServerOptions {
	readonly name: string;
	readonly failureDomain: FleetDomain;
	/** Called when the server falls silent and after it has restarted, so that the caller can make its address unreachable meanwhile. */
	readonly onReachable?: (change: {readonly port: number; readonly isReachable: boolean}) => void;
}

/** Options of {@link GatewayFleet.register}. */
export interface RegisterOptions {
	readonly server: Pick<RegisteredServer, 'name' | 'port'>;
	readonly failureDomain: FleetDomain;
	readonly state?: 'ready' | 'draining';
	/** Wall-clock time of the server's start, in milliseconds. */
	readonly startedAtMs?: number;
	/** Time for which the server says that it warms up, in milliseconds; 0 by default. */
	readonly warmupLeftMs?: number;
	/** Number of the heartbeat; by default higher than all before. */
	readonly sequence?: number;
}

/** A running store and its registered servers. */
export class GatewayFleet {
	readonly records: ServerRecords = {executions: [], arrivals: new Map(), arrivalLog: []};
	readonly servers: RegisteredServer[] = [];
	#heartbeat = 0;
	#isStopped = false;

	constructor(readonly platform: PlatformStandIn) {}

	/** Writes a key to the store as the operator or a server would. */
	write(key: string, value: unknown): void {
		this.platform.keyValues.put({key, value: new TextEncoder().encode(JSON.stringify(value))});
	}

	/** Starts and registers a server. */
	async addServer({name, failureDomain, port}: {readonly name: string; readonly failureDomain: FleetDomain; readonly port?: number}): Promise<RegisteredServer> {
		const server = await startRegisteredServer({name, records: this.records, port});
		this.servers.push(server);
		this.register({server, failureDomain});
		return server;
	}

	/** Starts and registers a server that restarts with the same name and address each time a request crashes it or makes it fall silent. */
	async addRestartingServer({name, failureDomain, onReachable}: AddRestartingServerOptions): Promise<void> {
		const index = this.servers.length;
		const start = async (port?: number): Promise<RegisteredServer> => startRegisteredServer({
			name,
			records: this.records,
			port,
			onCrash() {
				void restart(RESTART_MS);
			},
			onSilent: () => {
				onReachable?.({port: this.servers[index]!.port, isReachable: false});
				void restart(SILENT_RESTART_MS);
			},
		});
		let startedAtMs = FIRST_START_MS;
		const restart = async (afterMs: number): Promise<void> => {
			await sleep(afterMs);
			if (this.#isStopped) {
				return;
			}

			startedAtMs = Date.now();
			const {port} = this.servers[index]!;
			await this.servers[index]!.reset();
			const server = await retryWhileAddressInUse({start: async () => start(port), isWanted: () => !this.#isStopped});
			if (server === undefined || this.#isStopped) {
				await server?.stop();
				return;
			}

			this.servers[index] = server;
			onReachable?.({port, isReachable: true});
			this.register({server, failureDomain, startedAtMs});
		};

		const server = await start();
		this.servers.push(server);
		this.register({server, failureDomain, startedAtMs});
	}

	/** Writes the registration of a server to the store. */
	register({server, failureDomain, state = 'ready', startedAtMs = FIRST_START_MS, warmupLeftMs = 0, sequence}: RegisterOptions): void {
		this.#heartbeat += 1;
		this.write(`servers/${server.name}`, {
			service: 'ledger', address: `127.0.0.1:${server.port}`, zone: failureDomain, version: 'v1', slots: SLOTS, state,
			'warmup-left-s': warmupLeftMs / MILLISECONDS_PER_SECOND, sequence: sequence ?? this.#heartbeat, born: startedAtMs,
		});
	}

	/** Returns settings for a gateway of this fleet, on free ports of a new loopback address. */
	async settings({instance = 'gateway-0', failureDomain = 'north-a', shutdownSeconds = 3}: FleetSettingsOptions = {}): Promise<GatewaySettingsInput> {
		const address = nextAddress();
		const [callers, readiness, directory, metrics, peers] = await Promise.all([freePort(address), freePort(address), freePort(address), freePort(address), freePort(address)]);
		return {
			instance,
			failureDomain,
			region: regions[failureDomain],
			regions: {...regions},
			listen: {
				callers: `${address}:${callers}`, readiness: `${address}:${readiness}`, directory: `${address}:${directory}`, metrics: `${address}:${metrics}`, peers: `${address}:${peers}`,
			},
			store: `127.0.0.1:${this.platform.endpoint.port}`,
			shutdownSeconds,
			directoryMostSeconds: 5,
			retries: {ratio: RETRY_BUDGET.ratio, allowance: RETRY_BUDGET.allowance, windowSeconds: RETRY_BUDGET.windowMs / MILLISECONDS_PER_SECOND},
		};
	}

	/** Returns the executions of one request. */
	executionsOf(requestId: string): ServerRecords['executions'] {
		return this.records.executions.filter(execution => execution.requestId === requestId);
	}

	/** Stops the servers and the store. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.servers.map(async server => server.stop()));
		await this.platform.stop();
	}
}

/** Parses an endpoint written as `IP:PORT`. */
export function endpointOf(text: string): Endpoint {
	const [address, port] = text.split(':');
	return {address: address!, port: Number(port)};
}

/** Waits until a condition is met. Rejects if it is not met in time. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
	const endMs = Date.now() + CONDITION_TIMEOUT_MS;
	while (!await condition()) {
		if (Date.now() > endMs) {
			throw new Error('condition was not met in time');
		}

		await sleep(POLL_MS);
	}
}

/** Returns whether a gateway reports that it is ready. */
export async function isReady(settings: GatewaySettingsInput): Promise<boolean> {
	try {
		const response = await fetch(`http://${settings.listen.readiness}/pomelopick/ready`);
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
}

interface RetryWhileAddressInUseOptions<Started> {
	readonly start: () => Promise<Started>;
	/** Whether the start is still wanted. */
	readonly isWanted: () => boolean;
}

/** Starts something at a fixed port, and tries again while a connection of another process occupies the port. Returns undefined once it is not wanted any more. */
async function retryWhileAddressInUse<Started>({start, isWanted}: RetryWhileAddressInUseOptions<Started>): Promise<Started | undefined> {
	const deadlineMs = performance.now() + CONDITION_TIMEOUT_MS;
	while (isWanted()) {
		try {
			return await start();
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || performance.now() > deadlineMs) {
				throw error;
			}

			await sleep(POLL_MS);
		}
	}

	return undefined;
}

let addressCount = 0;

/**
 * Returns a loopback address for one gateway. All other processes connect from 127.0.0.1, so that while a gateway is
 * down, no connection of theirs can occupy the ports that it will listen on again.
 */
function nextAddress(): string {
	addressCount += 1;
	const octets = [process.pid, Math.floor(process.pid / OCTET_COUNT), addressCount].map(number => MIN_OCTET + (number % OCTET_COUNT));
	return `127.${octets.join('.')}`;
}

async function freePort(address: string): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	return port;
}
