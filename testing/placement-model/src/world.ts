/** The simulated deployment: regions, their backend servers and their callers. */
import type {
	BackendServerName, FailureDomainName, RegionName, RegisteredServer, ServiceName,
} from '@pomelopick/core.types';
import type {RequestKind} from './request-kind.js';
import type {SlowPhases} from './speed-phases.js';

/** Name of the one service. */
export const MODEL_SERVICE = 'model' as ServiceName;

/** A region. */
export interface ModelRegion {
	readonly name: string;
	/** Backend servers in the region. */
	readonly servers: number;
	/** Instances in the region. */
	readonly instances: number;
	/** Requests of its callers, in requests per second. */
	readonly requestsPerSecond: number;
	/** Objects that its callers ask for. */
	readonly objects: number;
}

/** Options of {@link World}. */
export interface WorldOptions {
	readonly regions: readonly ModelRegion[];
	readonly kinds: readonly RequestKind[];
	readonly slots: number;
	/** Requests that wait at a server at most; more are shed. */
	readonly queue: number;
	/** Pairs of kind and object that a server remembers, the most recently used ones. */
	readonly remembered: number;
	/** Pairs that some servers remember more than others, from 0 to this number; 0 if absent. */
	readonly rememberedSpread?: number;
	/** Exponent by which objects are requested unevenly; 0 if absent, which is evenly. */
	readonly objectSkew?: number;
	/** Whether the callers of all regions ask for the same objects; otherwise each region has its own. */
	readonly hasSharedObjects?: boolean;
	/** How servers slow down, and that they report their speed; absent: neither. */
	readonly slowPhases?: SlowPhases;
	/** Requests that take longer than others; absent: none. */
	readonly tail?: {
		/** Share of the requests, from 0 to 1. */
		readonly share: number;
		/** Multiple of the work. */
		readonly factor: number;
	};
	/** Requests that servers shed and that may be sent again, as a share of all requests; unlimited if absent. */
	readonly retryShare?: number;
	/** Times at which the servers of a region are gone, in milliseconds. */
	readonly outage?: {readonly region: string; readonly fromMs: number; readonly untilMs: number};
	/** One-way delays inside a region and between two, in milliseconds. */
	readonly nearMs: number;
	readonly farMs: number;
}

/** A deployment. */
export class World {
	readonly servers: readonly RegisteredServer[];

	constructor(readonly options: WorldOptions) {
		this.servers = options.regions.flatMap(({name, servers}) => Array.from({length: servers}, (_, number): RegisteredServer => ({
			name: `${name}-${number}` as BackendServerName,
			service: MODEL_SERVICE,
			address: '10.0.0.1',
			port: 1,
			failureDomain: name as FailureDomainName,
			slots: options.slots,
			state: 'ready',
			warmupLeftMs: 0,
			startedAtMs: 1,
			heartbeat: 1,
		})));
	}

	/** Region of each failure domain; a region has one. */
	get regions(): ReadonlyMap<FailureDomainName, RegionName> {
		return new Map(this.options.regions.map(({name}) => [name as FailureDomainName, name as RegionName]));
	}

	/** Servers of a region. */
	serversOf(region: string): readonly RegisteredServer[] {
		return this.servers.filter(({failureDomain}) => failureDomain === region as FailureDomainName);
	}

	/** Region of each server. */
	get regionsOfServers(): ReadonlyMap<BackendServerName, string> {
		return new Map(this.servers.map(({name, failureDomain}) => [name, failureDomain]));
	}
}

/** Slot time that a second's requests need when every server has their objects in memory, over the slots that there are. */
export function warmLoad({options: {regions, kinds, slots}}: World): number {
	const workMs = kinds.reduce((sum, {share, warmMs}) => sum + (share * warmMs), 0);
	const perSecond = regions.reduce((sum, {requestsPerSecond}) => sum + requestsPerSecond, 0);
	const servers = regions.reduce((sum, region) => sum + region.servers, 0);
	return perSecond * workMs / (servers * slots * MILLISECONDS_PER_SECOND);
}

const MILLISECONDS_PER_SECOND = 1000;
