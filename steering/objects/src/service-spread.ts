/**
 * Decides for one service which regions and servers take a request where the servers report their work factor, or the configuration calls for it.
 *
 * Responds to two loads: callers whose region has few of the slots, and objects that are requested more often than others.
 * The first are spread over the regions (see {@link RegionSpread}). For the second, consistent hashing is bounded
 * (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018): a server whose estimated load
 * exceeds the mean of its region passes its objects on to the next in the ranking.
 */
import type {FailureDomainName, RegionName, ServiceName} from '@pomelopick/core.types';
import type {KnownServer, ObservationTable, ServerTable} from '@pomelopick/steering.servers';
import type {SharesChange} from './object-placer-types.js';
import type {RegionRanking} from './object-ranking.js';
import {ObjectPopularity} from './object-popularity.js';
import {planRegionShares, toShares} from './region-plan.js';
import type {RegionShares} from './region-plan.js';
import {RegionSpread, STEP_INTERVAL_MS} from './region-spread.js';

/** Load above which a server passes its objects on, as a multiple of the mean load of its region. */
const BOUND = 1.25;
/** Requests in flight for each slot up to which a server keeps its objects, whatever the mean is: below it, a request does not wait. */
const MIN_BOUND = 1;
/** Time constant with which a server's last report loses its weight in the mean of its region, in milliseconds. */
const REPORT_DECAY_MS = 5000;
/** Weight of all reports, in reports, below which the load of a region is considered unknown. */
const MIN_REPORTS = 2;
/** Load of an object, as a multiple of the mean load of a server of its region, for each further server that it is sent to. */
const LOAD_PER_SERVER = 0.5;
/** Maximum number of servers of an object in a region. */
const MAX_SERVERS_PER_OBJECT = 4;
/** Change of a share that is worth a log line. */
const NOTICEABLE_CHANGE = 0.05;

/** Options of {@link ServiceSpread}. */
export interface ServiceSpreadOptions {
	readonly service: ServiceName;
	readonly servers: ServerTable;
	readonly observations: ObservationTable;
	/** Region of this instance. */
	readonly region: RegionName;
	/** Region of each failure domain. */
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	/** Whether the requests are spread over the regions although no server reports its work factor; not by default. */
	readonly spreadsAll?: () => boolean;
	/** Called when the shares have changed noticeably. */
	readonly onSharesChanged?: (change: SharesChange) => void;
}

/** What is known of the regions of one service, and the shares of the requests that go there. */
export class ServiceSpread {
	readonly #options: ServiceSpreadOptions;
	readonly #spread: RegionSpread;
	readonly #demand: RegionShares;
	readonly #popularity = new ObjectPopularity();
	#generation: number | undefined;
	#slots: ReadonlyMap<RegionName, number> = new Map();
	#plan: RegionShares = new Map();
	#loads: ReadonlyMap<RegionName, number> = new Map();
	#reportedShares: RegionShares = new Map();
	#steppedAtMs = Number.NEGATIVE_INFINITY;
	#reportsWorkFactor = false;

	constructor(options: ServiceSpreadOptions) {
		const {region, regions} = options;
		this.#options = options;
		this.#spread = new RegionSpread({region});
		// Callers are assumed to be spread evenly over the failure domains.
		this.#demand = toShares(sumBy([...regions.values()].map(name => [name, 1])));
	}

	/** Records that a server of the service reported its work factor; holds until the process ends. */
	recordWorkFactorReported(): void {
		if (!this.#reportsWorkFactor) {
			this.#reportsWorkFactor = true;
			// The shares are needed for the next request.
			this.#steppedAtMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Whether the servers of the service report their work factor, so that its objects are placed with bounded loads. */
	get isBounded(): boolean {
		return this.#reportsWorkFactor;
	}

	/** Current shares of the requests of this region's callers by region; empty while the service is not spread. */
	get shares(): RegionShares {
		return this.#spread.shares;
	}

	/** Updates the shares if servers have changed or a step is due; returns whether the requests of this region are spread over all regions. */
	updateShares(nowMs: number): boolean {
		const {servers} = this.#options;
		const hasChanged = servers.generation !== this.#generation;
		if (hasChanged) {
			this.#generation = servers.generation;
			this.#readServers();
		}

		if (hasChanged || nowMs - this.#steppedAtMs >= STEP_INTERVAL_MS) {
			this.#steppedAtMs = nowMs;
			this.#step(nowMs);
		}

		return this.#isActive;
	}

	/** Regions in the order in which an object prefers them: each is first for its share of the objects, with the fewest changes when shares change. */
	orderRegions(regions: readonly RegionRanking[]): readonly RegionRanking[] {
		const {shares} = this;
		const distanceOf = ({region, distance}: RegionRanking): number => distance / (shares.get(region) ?? 0);
		return regions.toSorted((left, right) => compare(distanceOf(left), distanceOf(right)));
	}

	/** Estimated requests in flight at a server, with the mean of its region for what is not known. */
	estimateInFlight({known: {server}, nowMs}: {readonly known: KnownServer; readonly nowMs: number}): number {
		const usualLoad = this.#loads.get(this.#regionOf(server)) ?? 0;
		return this.#options.observations.get(server).estimateInFlight(nowMs, usualLoad * server.slots);
	}

	/** Whether the load of a server is within the bound of its region, so that it keeps its objects. */
	isWithinBound({known, nowMs}: {readonly known: KnownServer; readonly nowMs: number}): boolean {
		const meanLoad = this.#loads.get(this.#regionOf(known.server)) ?? 0;
		return this.estimateInFlight({known, nowMs}) <= Math.max(MIN_BOUND, BOUND * meanLoad) * known.server.slots;
	}

	/**
	 * Records a request for an object; returns the number of servers of a region that its requests are divided among. Only an
	 * object that would load one server above the others by itself gets several: each has to load it into its memory.
	 */
	recordRequest({object, group, nowMs}: {readonly object: string; readonly group: RegionRanking; readonly nowMs: number}): number {
		const {length} = group.servers;
		const load = this.#popularity.record({object, nowMs}) * length;
		return Math.min(MAX_SERVERS_PER_OBJECT, length, 1 + Math.floor(load / LOAD_PER_SERVER));
	}

	get #isActive(): boolean {
		return this.#reportsWorkFactor || this.#options.spreadsAll?.() === true;
	}

	#step(nowMs: number): void {
		const {service, servers, observations} = this.#options;
		this.#reportsWorkFactor ||= servers.listUsable(service).some(({server}) => observations.get(server).reportsWorkFactor);
		if (!this.#isActive) {
			return;
		}

		this.#loads = this.#measureLoads(nowMs);
		this.#spread.update({
			plan: this.#plan, slotShares: toShares(this.#slots), loads: this.#loads, nowMs,
		});
		this.#reportShares();
	}

	#reportShares(): void {
		const {shares} = this;
		const names = [...shares.keys(), ...this.#reportedShares.keys()];
		if (names.some(name => Math.abs((shares.get(name) ?? 0) - (this.#reportedShares.get(name) ?? 0)) >= NOTICEABLE_CHANGE)) {
			this.#reportedShares = shares;
			this.#options.onSharesChanged?.({
				service: this.#options.service, shares, slots: this.#slots, loads: this.#loads,
			});
		}
	}

	#readServers(): void {
		const {service, servers, region} = this.#options;
		this.#slots = sumBy(servers.listUsable(service).map(({server}) => [this.#regionOf(server), server.slots]));
		this.#plan = planRegionShares({region, slots: this.#slots, demand: this.#demand});
	}

	/** Mean load of each region for each slot, from the newest reports of its servers. */
	#measureLoads(nowMs: number): ReadonlyMap<RegionName, number> {
		const {service, servers, observations} = this.#options;
		const sums = new Map<RegionName, {weight: number; inFlight: number; slots: number}>();
		for (const {server} of servers.listUsable(service)) {
			const observed = observations.get(server);
			const weight = Math.exp((observed.loadAtMs - nowMs) / REPORT_DECAY_MS);
			const region = this.#regionOf(server);
			const sum = sums.get(region) ?? {weight: 0, inFlight: 0, slots: 0};
			sums.set(region, {weight: sum.weight + weight, inFlight: sum.inFlight + (weight * observed.reportedInFlight), slots: sum.slots + (weight * server.slots)});
		}

		return new Map([...sums].filter(([, {weight}]) => weight >= MIN_REPORTS).map(([region, {inFlight, slots}]) => [region, inFlight / slots]));
	}

	#regionOf({failureDomain}: {readonly failureDomain: FailureDomainName}): RegionName {
		return this.#options.regions.get(failureDomain) ?? this.#options.region;
	}
}

function sumBy<Key>(entries: ReadonlyArray<readonly [Key, number]>): ReadonlyMap<Key, number> {
	const sums = new Map<Key, number>();
	for (const [key, number] of entries) {
		sums.set(key, (sums.get(key) ?? 0) + number);
	}

	return sums;
}

/** Compares numbers of which several may be infinite. */
function compare(left: number, right: number): number {
	return left === right ? 0 : left - right;
}
