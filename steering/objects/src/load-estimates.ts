/** Estimates that the placer updates from its requests: expected times by route, and the share of objects that leaves the region by service. */
import type {
	FailureDomainName, RegionName, Route, RouteName, ServiceName,
} from '@pomelopick/core.types';
import type {ObservationTable, ServerTable} from '@pomelopick/steering.servers';
import type {ObjectPlacement, ReliableTimes, SharesChange} from './object-placer-types.js';
import type {RegionShares} from './region-plan.js';
import {RegionSpill} from './region-spill.js';
import {ServiceSpread} from './service-spread.js';
import {WorkExpectation} from './work-expectation.js';

/** Options of {@link LoadEstimates}. */
export interface LoadEstimatesOptions {
	readonly servers: ServerTable;
	readonly observations: ObservationTable;
	/** Whether the requests for all services are spread over the regions, also where servers report no work factor; not by default. */
	readonly spreadsAll?: () => boolean;
	/** Called when the shares of a service have changed noticeably. */
	readonly onSharesChanged?: (change: SharesChange) => void;
	/** Region of this instance. */
	readonly region: RegionName;
	/** Region of each failure domain. */
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
}

/** Options of {@link LoadEstimates.findReliableTimes}. */
export interface FindReliableTimesOptions {
	readonly route: Route;
	readonly placement: ObjectPlacement;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Keeps the estimates by route and by service. */
export class LoadEstimates {
	readonly #options: LoadEstimatesOptions;
	readonly #expectations = new Map<RouteName, WorkExpectation>();
	readonly #spills = new Map<ServiceName, RegionSpill>();
	readonly #spreads = new Map<ServiceName, ServiceSpread>();

	constructor(options: LoadEstimatesOptions) {
		this.#options = options;
	}

	/** Times that requests of a route are expected to take. */
	expectationOf(route: Route): WorkExpectation {
		return findOrCreate({map: this.#expectations, key: route.name, create: () => new WorkExpectation(route)});
	}

	/** Expected times of a request at the server chosen for it, without what single overdue requests add, as these may take long themselves; undefined before enough responses of its route. */
	findReliableTimes({route, placement: {known, isWarm, waitMs, expectedMs}, nowMs}: FindReliableTimesOptions): ReliableTimes | undefined {
		const observations = this.#options.observations.get(known.server);
		const share = observations.measuredSlownessAt(nowMs) / observations.slownessAt(nowMs);
		return this.expectationOf(route).isKnown(isWarm) ? {waitMs: waitMs * share, workMs: (expectedMs - waitMs) * share} : undefined;
	}

	/** The share of the objects of a service that leaves the region. */
	spillOf({service, nowMs}: {readonly service: ServiceName; readonly nowMs: number}): RegionSpill {
		return findOrCreate({
			map: this.#spills, key: service, create: () => new RegionSpill({slotShare: this.#slotShare(service), callerShare: this.#callerShare, nowMs}),
		});
	}

	/** How the requests for a service are spread over regions and servers that are uneven. */
	spreadOf(service: ServiceName): ServiceSpread {
		return findOrCreate({map: this.#spreads, key: service, create: () => new ServiceSpread({...this.#options, service})});
	}

	/** Current shares of the requests of this region's callers, for the services that are spread. */
	listRegionShares(): ReadonlyMap<ServiceName, RegionShares> {
		return new Map([...this.#spreads].filter(([, {shares}]) => shares.size > 0).map(([service, {shares}]) => [service, shares]));
	}

	/** Share of a service's objects that leave the region, from 0 to 1; 0 before the first request. */
	spillShare(service: ServiceName): number {
		return this.#spills.get(service)?.share ?? 0;
	}

	/** Share of a service's slots that are in this region. */
	#slotShare(service: ServiceName): number {
		const {servers, regions, region} = this.#options;
		let all = 0;
		let inRegion = 0;
		for (const {server} of servers.listUsable(service)) {
			all += server.slots;
			inRegion += regions.get(server.failureDomain) === region ? server.slots : 0;
		}

		return all === 0 ? 1 : inRegion / all;
	}

	/** Assumed share of the callers that are in this region: its share of the failure domains. */
	get #callerShare(): number {
		const all = [...this.#options.regions.values()];
		return all.filter(region => region === this.#options.region).length / Math.max(1, all.length);
	}
}

function findOrCreate<Key, Value>({map, key, create}: {readonly map: Map<Key, Value>; readonly key: Key; readonly create: () => Value}): Value {
	let value = map.get(key);
	if (value === undefined) {
		value = create();
		map.set(key, value);
	}

	return value;
}
