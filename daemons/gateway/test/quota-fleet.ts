/** Eight gateways and organisations with quotas, with callers that send more than the quotas allow. */
import assert from 'node:assert/strict';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import type {Endpoint} from '@pomelopick/core.types';
import {
	callGateway, configuration, endpointOf, isReady, largestInWindow, quotaBound, QuotaCallers, startGatewayFleet, startGatewayProcess, until,
} from '@pomelopick/testing.gateway-fleet';
import type {
	FleetDomain, FleetOrganisation, GatewayFleet, GatewayProcess, QuotaCall, SendAtRateOptions,
} from '@pomelopick/testing.gateway-fleet';

const GATEWAYS = 8;
const SERVERS = 9;
const OVERLOAD = 4;
/** Time in which an overload uses up the burst of the quota, in milliseconds. */
const BURST_MS = 1500;
const MILLISECONDS_PER_SECOND = 1000;
const SHARD_PREFIX = 'pomelopick/quota-shards/';
const domains: readonly FleetDomain[] = ['north-a', 'north-b', 'south-a'];

/** Time for which requests are counted, in milliseconds. */
export const PLAY_MS = 6000;

/** Organisation that sends too much. */
export const limited = {
	name: 'limited', keys: ['key-of-limited'], ratePerSecond: 60, burst: 60,
} as const;

/** Organisation that stays within its quota. */
export const calm = {
	name: 'calm', keys: ['key-of-calm'], ratePerSecond: 40, burst: 40,
} as const;

interface ShardValue {
	readonly owner: string | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly predecessors: readonly unknown[];
}

/** Options of {@link startQuotaFleet}. */
export interface StartQuotaFleetOptions {
	/** Flags of the gateways' engine. */
	readonly engineFlags?: readonly string[];
}

/** Starts the gateways, and waits until all are ready. */
export async function startQuotaFleet({engineFlags = []}: StartQuotaFleetOptions = {}): Promise<QuotaFleet> {
	const fleet = await startGatewayFleet({servers: Array.from({length: SERVERS}, (_, index) => domains[index % domains.length]!)});
	const settings = await Promise.all(Array.from({length: GATEWAYS}, async (_, index) => fleet.settings({
		instance: `gateway-${index}`, failureDomain: domains[index % domains.length], shutdownSeconds: 2,
	})));
	const quotas = new QuotaFleet({fleet, settings, engineFlags});
	try {
		await Promise.all(settings.map(async (_, index) => quotas.start(index)));
		await until(async () => {
			const ready = await Promise.all(settings.map(async own => isReady(own)));
			return ready.every(Boolean);
		});
		return quotas;
	} catch (error) {
		await quotas.stop();
		throw error;
	}
}

/** The running gateways. */
export class QuotaFleet {
	readonly fleet: GatewayFleet;
	readonly settings: readonly GatewaySettingsInput[];
	readonly gateways: GatewayProcess[] = [];
	readonly callers = new QuotaCallers();
	readonly #engineFlags: readonly string[];
	#version = 1;

	constructor({fleet, settings, engineFlags}: {readonly fleet: GatewayFleet; readonly settings: readonly GatewaySettingsInput[]; readonly engineFlags: readonly string[]}) {
		this.fleet = fleet;
		this.settings = settings;
		this.#engineFlags = engineFlags;
	}

	/** Addresses for callers, by gateway. */
	get endpoints(): readonly Endpoint[] {
		return this.settings.map(({listen}) => endpointOf(listen.callers));
	}

	/** Starts a gateway, also after its process was killed. */
	async start(index: number): Promise<void> {
		this.gateways[index] = await startGatewayProcess({settings: this.settings[index]!, engineFlags: this.#engineFlags});
	}

	/** Writes the next version of the configuration; resolves once it is in force at all gateways. */
	async publish(organisations: readonly FleetOrganisation[]): Promise<void> {
		this.#version += 1;
		this.fleet.write('op/config', configuration({version: this.#version, organisations}));
		const subject = String(this.#version);
		await until(() => this.gateways.every(({lines}) => lines.some(line => line.event === 'routes-in-force' && line.subject === subject)));
	}

	/** Records of the shards in the store. */
	readShards(): readonly ShardValue[] {
		return this.fleet.platform.keyValues.read({key: SHARD_PREFIX, recurse: true}).map(({value}) => JSON.parse(new TextDecoder().decode(value)) as ShardValue);
	}

	/** Whether each shard has an owner that may use all of it. */
	areShardsOwned(): boolean {
		const shards = this.readShards();
		return shards.length === 4 && shards.every(({owner, predecessors}) => owner !== null && predecessors.length === 0);
	}

	/** Whether each shard has an owner of its own. */
	isSpread(): boolean {
		return this.areShardsOwned() && new Set(this.readShards().map(({owner}) => owner)).size === 4;
	}

	/** Waits until each gateway has served a request of an organisation: the records of the owners reach its view some time after the store. */
	async untilOwnersAreKnown({keys}: Pick<FleetOrganisation, 'keys'>): Promise<void> {
		await Promise.all(this.endpoints.map(async endpoint => until(async () => {
			const {status} = await callGateway({endpoint, key: keys[0]});
			return status === 200;
		})));
	}

	/** Number of the gateway that owns a shard. */
	gatewayOf(shard: number): number {
		return this.settings.findIndex(({instance}) => instance === this.readShards()[shard]!.owner);
	}

	/** Sends more than the quota allows. */
	async sendOverload(options: Pick<SendAtRateOptions, 'durationMs' | 'end'> & {readonly endpoints?: readonly Endpoint[]}): Promise<readonly QuotaCall[]> {
		return this.callers.send({
			organisation: limited, endpoints: this.endpoints, perSecond: limited.ratePerSecond * OVERLOAD, ...options,
		});
	}

	/** Plays an overload after the burst of the quota is used up, and returns what was served per second. */
	async overload(endpoints = this.endpoints): Promise<number> {
		await this.sendOverload({endpoints, durationMs: BURST_MS});
		const calls = await this.sendOverload({endpoints, durationMs: PLAY_MS});
		return calls.filter(({status}) => status === 200).length / PLAY_MS * MILLISECONDS_PER_SECOND;
	}

	/** Checks the bound of a quota for the requests that were sent from a monotonic time on, in milliseconds. */
	assertBound({quota = limited, sinceMs = 0}: {readonly quota?: FleetOrganisation; readonly sinceMs?: number} = {}): void {
		const calls = this.callers.calls.filter(({sentAtMs}) => sentAtMs >= sinceMs);
		const largest = largestInWindow({organisation: quota, calls, records: this.fleet.records});
		assert.ok(largest > 0, 'no request was served');
		assert.ok(largest <= quotaBound(quota), `${largest} requests in a window, allowed are ${quotaBound(quota)}`);
	}

	/** Stops the gateways, the servers and the store. */
	async stop(): Promise<void> {
		await this.callers.close();
		await Promise.all(this.gateways.map(async gateway => gateway.stop()));
		await this.fleet.stop();
	}
}
