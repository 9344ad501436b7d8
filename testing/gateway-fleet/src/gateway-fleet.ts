/** A store, backend servers and what gateways need to find them. */
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
import type {RegisteredServer, ServerRecords} from './registered-server.js';

const DEADLINE_MS = 15_000;
const POLL_MS = 10;
const SLOTS = 4;
/** Lowest number in the parts of a gateway's address, and how many there are. */
const FIRST_PART = 2;
const ADDRESS_PARTS = 250;

const MILLISECONDS_PER_SECOND = 1000;
/** Wall-clock time of the first start of a server, in milliseconds. */
const FIRST_START_MS = 1000;
/** Time for which a server is down that a request took down, in milliseconds. */
const RESTART_MS = 1500;

/** Retry budget of each service over the whole fleet, as the users' sheets give it. */
export const RETRY_BUDGET = {ratio: 0.2, allowance: 56, windowMs: 10_000} as const;

/** Failure domains and their regions. */
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

/** Starts a store with a configuration, and servers that are registered. */
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

/** Options of {@link GatewayFleet.register}. */
export interface RegisterOptions {
	readonly server: Pick<RegisteredServer, 'name' | 'port'>;
	readonly failureDomain: FleetDomain;
	readonly state?: 'ready' | 'draining';
	/** Wall-clock time of the server's start, in milliseconds. */
	readonly startedAtMs?: number;
}

/** A store and servers. */
export class GatewayFleet {
	readonly records: ServerRecords = {executions: [], arrivals: new Map(), arrivalLog: []};
	readonly servers: RegisteredServer[] = [];
	#heartbeat = 0;
	#isStopped = false;

	constructor(readonly platform: PlatformStandIn) {}

	/** Writes a key as the operator or a server would. */
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

	/** Starts and registers a server that starts anew under its name, at its address, each time that a request took it down. */
	async addRestartingServer({name, failureDomain}: {readonly name: string; readonly failureDomain: FleetDomain}): Promise<void> {
		const index = this.servers.length;
		const start = async (port?: number): Promise<RegisteredServer> => startRegisteredServer({
			name, records: this.records, port, onCrash() {
				void restart();
			},
		});
		let startedAtMs = FIRST_START_MS;
		const restart = async (): Promise<void> => {
			await sleep(RESTART_MS);
			if (this.#isStopped) {
				return;
			}

			startedAtMs += RESTART_MS;
			const server = await start(this.servers[index]!.port);
			this.servers[index] = server;
			this.register({server, failureDomain, startedAtMs});
		};

		const server = await start();
		this.servers.push(server);
		this.register({server, failureDomain, startedAtMs});
	}

	/** Writes the entry of a server. */
	register({server, failureDomain, state = 'ready', startedAtMs = FIRST_START_MS}: RegisterOptions): void {
		this.#heartbeat += 1;
		this.write(`servers/${server.name}`, {
			service: 'ledger', address: `127.0.0.1:${server.port}`, zone: failureDomain, version: 'v1', slots: SLOTS, state, 'warmup-left-s': 0, sequence: this.#heartbeat, born: startedAtMs,
		});
	}

	/** Settings of a gateway of this fleet, on free ports. */
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

	/** Runs of one request. */
	executionsOf(requestId: string): ServerRecords['executions'] {
		return this.records.executions.filter(execution => execution.requestId === requestId);
	}

	/** Stops servers and store. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.servers.map(async server => server.stop()));
		await this.platform.stop();
	}
}

/** Endpoint of `IP:PORT`. */
export function endpointOf(text: string): Endpoint {
	const [address, port] = text.split(':');
	return {address: address!, port: Number(port)};
}

/** Waits until something holds. Rejects when it does not come to hold in time. */
export async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
	const endMs = Date.now() + DEADLINE_MS;
	while (!await holds()) {
		if (Date.now() > endMs) {
			throw new Error('it did not come to hold in time');
		}

		await sleep(POLL_MS);
	}
}

/** Whether a gateway says that it is ready. */
export async function isReady(settings: GatewaySettingsInput): Promise<boolean> {
	try {
		const answer = await fetch(`http://${settings.listen.readiness}/pomelopick/ready`);
		await answer.arrayBuffer();
		return answer.status === 200;
	} catch {
		return false;
	}
}

let addresses = 0;

/**
 * Loopback address of a gateway's own. While a gateway is down, no connection of another process, all of which leave
 * from 127.0.0.1, can take the ports that it will listen on again.
 */
function nextAddress(): string {
	addresses += 1;
	const parts = [process.pid, Math.floor(process.pid / ADDRESS_PARTS), addresses].map(number => FIRST_PART + (number % ADDRESS_PARTS));
	return `127.${parts.join('.')}`;
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
