/**
 * Chooses the backend server for a request by the time that its answer is expected to take.
 *
 * A server that has lately handled an object of a route works several times faster on it, and remembers a few dozen.
 * Each object therefore has one server in each region, the first of a ranking that is alike at all instances: a second
 * one would have to learn the object too, and what a server learns pushes another object out. The next in rank stands
 * in where the first may not be used or is slow. A request that would wait too long is refused rather than sent to a
 * server that has to learn its object: under load the time to learn is what all others lack. Servers that told this
 * instance that they leave or want a pause get nothing, but keep their place in the ranking, which other instances,
 * who were not told, share. Ranking is highest-random-weight hashing, see {@link rankObject}.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	BackendServerName, FailureDomainName, RegionName, Route, ServiceName,
} from '@pomelopick/core.types';
import type {
	KnownServer, ObservationTable, ServerObservations, ServerStart, ServerTable,
} from '@pomelopick/steering.servers';
import {LoadEstimates} from './load-estimates.js';
import {RankingCache} from './object-ranking.js';
import type {ObjectRanking, RegionRanking} from './object-ranking.js';
import {maxWaitMs, refuseLongWait, refuseWithoutServer} from './placement-refusal.js';
import type {PlacementRefusal} from './placement-refusal.js';
import {RecentObjects} from './recent-objects.js';
import {groupByRegion} from './region-groups.js';
import type {WorkExpectation} from './work-expectation.js';

/** Time that a hop to another failure domain, and to another region, counts for, in milliseconds: its delay and the bytes that it costs. */
const OTHER_DOMAIN_COST_MS = 15;
const OTHER_REGION_COST_MS = 80;
/** Time by which a lower rank counts as worse, in milliseconds, so that equal servers are taken in the same order everywhere. */
const RANK_COST_MS = 0.5;
/** Time that a sure failure costs, as a multiple of the work: it is done again elsewhere. */
const FAILURE_FACTOR = 2;
/** Servers of a region that an object goes to; further ones stand in for those that are slow. */
const SERVERS_PER_OBJECT = 1;
/** Multiple of the expected time from which on a server counts as slow. */
const SLOW_FACTOR = 4;

/** Options of {@link ObjectPlacer}. */
export interface ObjectPlacerOptions {
	readonly servers: ServerTable;
	readonly observations: ObservationTable;
	/** Where this instance stands. */
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	/** Region of each failure domain. */
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	/**
	 * Monotonic time until which a server told this instance that it wants nothing, in milliseconds; infinite when it
	 * leaves, undefined when it said nothing of the kind.
	 */
	readonly closedUntilMs: (options: {readonly server: ServerStart; readonly nowMs: number}) => number | undefined;
	/** Number from 0 up to 1. */
	readonly random: () => number;
	/** Whether a server that warms up may receive a request of this instance now. */
	readonly mayWarm: (options: {readonly known: KnownServer; readonly nowMs: number}) => boolean;
}

/** Options of {@link ObjectPlacer.place}. */
export interface PlaceObjectOptions {
	readonly route: Route;
	readonly service: ServiceName;
	/** Object that the request concerns; undefined: none. */
	readonly object: string | undefined;
	/** Servers that this request was already sent to. */
	readonly avoid: ReadonlySet<BackendServerName>;
	/** Monotonic time by which an answer is of use, in milliseconds. */
	readonly deadlineMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** A server for a request. */
export interface ObjectPlacement {
	readonly known: KnownServer;
	/** Whether the server is expected to have the object in memory. */
	readonly isWarm: boolean;
	/** Expected wait for a slot of the server, in milliseconds. */
	readonly waitMs: number;
	/** Expected time at the server, the wait included, in milliseconds. */
	readonly expectedMs: number;
}

/** Options of {@link ObjectPlacer.recordAnswer}. */
export interface RecordAnswerOptions extends Pick<PlaceObjectOptions, 'route' | 'object'> {
	readonly placement: ObjectPlacement;
	/** Time from sending the request to its answer, in milliseconds. */
	readonly heldMs: number;
}

interface Candidate extends ObjectPlacement {
	/** Lower tiers go first: an answer in time, an idle server that learns the object, any other. */
	readonly tier: number;
	readonly costMs: number;
}

interface ListCandidatesOptions extends PlaceObjectOptions {
	/** Whether servers that are left alone for a while count too. */
	readonly includesPaused: boolean;
}

interface EvaluateServerOptions extends PlaceObjectOptions {
	readonly known: KnownServer;
	/** Position in its region's ranking. */
	readonly rank: number;
	readonly hopMs: number;
	readonly expectation: WorkExpectation;
}

/** Places requests. */
export class ObjectPlacer {
	readonly #options: ObjectPlacerOptions;
	readonly #rankings = new RankingCache();
	readonly #recent = new RecentObjects();
	readonly #estimates: LoadEstimates;

	constructor(options: ObjectPlacerOptions) {
		this.#options = options;
		this.#estimates = new LoadEstimates(options);
	}

	/** Share of a service's objects that leave this region, from 0 to 1. */
	spillShare(service: ServiceName): number {
		return this.#estimates.spillShare(service);
	}

	/** Chooses a server, or says why there is none. */
	place(options: PlaceObjectOptions): Either<PlacementRefusal, ObjectPlacement> {
		const {service, route, deadlineMs, nowMs} = options;
		const sound = this.#listCandidates({...options, includesPaused: false});
		// A server that failed of late is still better than none.
		const candidates = sound.length > 0 ? sound : this.#listCandidates({...options, includesPaused: true});
		if (candidates.length === 0) {
			return Left(this.#refuseWithoutCandidate(options));
		}

		const best = findBest(candidates);
		const mostMs = maxWaitMs({route, deadlineMs, nowMs});
		return best.waitMs < mostMs ? Right(best) : Left(refuseLongWait({service, waitMs: best.waitMs, mostMs}));
	}

	/** Learns from an answer. */
	recordAnswer({route, object, placement, heldMs}: RecordAnswerOptions): void {
		this.#estimates.expectationOf(route).record({isWarm: placement.isWarm, heldMs});
		if (object !== undefined) {
			this.#recent.record({server: placement.known.server.name, object: toRouteObject({route, object})});
		}
	}

	/** Forgets what a server had in memory. */
	forget(server: BackendServerName): void {
		this.#recent.forget(server);
	}

	#refuseWithoutCandidate({service, route, avoid, nowMs}: PlaceObjectOptions): PlacementRefusal {
		const {servers, regions, region, closedUntilMs, random} = this.#options;
		const isHome = ({server}: KnownServer): boolean => route.homeRegions.length === 0 || route.homeRegions.includes(regions.get(server.failureDomain) ?? region);
		const untried = servers.listUsable(service).filter(known => isHome(known) && !avoid.has(known.server.name));
		return refuseWithoutServer({
			service, closedUntilMs: untried.map(({server}) => closedUntilMs({server, nowMs})), nowMs, random,
		});
	}

	#listCandidates(options: ListCandidatesOptions): readonly Candidate[] {
		const {region} = this.#options;
		const {service, route, nowMs} = options;
		const ranking = this.#rankingOf(options);
		const homes = route.homeRegions;
		const allowed = homes.length === 0 ? ranking.regions : ranking.regions.filter(group => homes.includes(group.region));
		const [other, ...rest] = allowed.filter(group => group.region !== region);
		const own = allowed.find(group => group.region === region);
		const ownCandidates = own ? this.#evaluateRegion({options, group: own, hopMs: 0}) : [];
		const spill = this.#estimates.spillOf({service, nowMs});
		if (ownCandidates.length > 0) {
			const best = findBest(ownCandidates);
			spill.record({waitMs: best.waitMs, expectedMs: best.expectedMs - best.waitMs, nowMs});
		}

		const leaves = ownCandidates.length === 0 || (other !== undefined && ranking.part < spill.share);
		const otherCandidates = leaves && other ? this.#evaluateRegion({options, group: other, hopMs: OTHER_REGION_COST_MS}) : [];
		if (otherCandidates.length > 0) {
			// The object's own region helps out where the other one cannot answer in time.
			return findBest(otherCandidates).tier === 0 ? otherCandidates : [...otherCandidates, ...ownCandidates];
		}

		return ownCandidates.length > 0 ? ownCandidates : rest.flatMap(group => this.#evaluateRegion({options, group, hopMs: OTHER_REGION_COST_MS}));
	}

	/** The servers of one region that the object may go to. */
	#evaluateRegion({options, group, hopMs}: {readonly options: ListCandidatesOptions; readonly group: RegionRanking; readonly hopMs: number}): readonly Candidate[] {
		const {route, object} = options;
		const expectation = this.#estimates.expectationOf(route);
		const most = route.prefersWarmServers && object !== undefined ? SERVERS_PER_OBJECT : group.servers.length;
		const open: Array<{readonly known: KnownServer; readonly rank: number}> = [];
		let sound = 0;
		for (const [rank, {server}] of group.servers.entries()) {
			const known = sound < most ? this.#findAvailable({name: server.name, options}) : undefined;
			if (known) {
				open.push({known, rank});
				// The next in rank stands in for a slow server.
				sound += Number(this.#observationsOf(known).slownessAt(options.nowMs) < SLOW_FACTOR);
			}
		}

		return open.map(({known, rank}) => this.#evaluateServer({
			...options, known, rank, expectation, hopMs,
		}));
	}

	/** The server if it may receive the request now. */
	#findAvailable({name, options: {avoid, nowMs, includesPaused: takesPaused}}: {readonly name: BackendServerName; readonly options: ListCandidatesOptions}): KnownServer | undefined {
		const known = this.#options.servers.findUsable(name);
		if (!known || avoid.has(name) || this.#options.closedUntilMs({server: known.server, nowMs}) !== undefined || (!takesPaused && this.#observationsOf(known).isPaused(nowMs))) {
			return undefined;
		}

		const isOpen = nowMs >= known.coldUntilMs || this.#options.mayWarm({known, nowMs});
		return isOpen ? known : undefined;
	}

	#evaluateServer({known, rank, hopMs, expectation, route, object, nowMs}: EvaluateServerOptions): Candidate {
		const {server} = known;
		const observations = this.#observationsOf(known);
		const isWarm = !route.prefersWarmServers || (object !== undefined && (rank === 0 || this.#recent.has({server: server.name, object: toRouteObject({route, object})})));
		const workMs = expectation.expectedMs(isWarm) * observations.slownessAt(nowMs);
		const waitMs = this.#waitMs({
			observations, slots: server.slots, workMs, nowMs,
		});
		const domainMs = hopMs === 0 && server.failureDomain !== this.#options.failureDomain ? OTHER_DOMAIN_COST_MS : 0;
		const failureMs = observations.failureShare * workMs * FAILURE_FACTOR;
		const costMs = waitMs + workMs + hopMs + domainMs + failureMs + (rank * RANK_COST_MS);
		const tier = costMs <= route.targetLatencyMs ? 0 : (isWarm || waitMs > 0 ? 2 : 1);
		return {
			known, isWarm, tier, waitMs, expectedMs: waitMs + workMs, costMs,
		};
	}

	#waitMs({observations, slots, workMs, nowMs}: {readonly observations: ServerObservations; readonly slots: number; readonly workMs: number; readonly nowMs: number}): number {
		const ahead = observations.estimateInFlight(nowMs);
		return ahead < slots ? 0 : (ahead - slots + 1) * workMs / slots;
	}

	#rankingOf({route, service, object = ''}: PlaceObjectOptions): ObjectRanking {
		const {servers, region, regions} = this.#options;
		const routeObject = toRouteObject({route, object});
		return this.#rankings.find({
			service,
			object: routeObject,
			generation: servers.generation,
			group: () => groupByRegion({servers: servers.listUsable(service), regionOf: ({server}) => regions.get(server.failureDomain) ?? region}),
		});
	}

	#observationsOf({server}: KnownServer): ServerObservations {
		return this.#options.observations.get(server);
	}
}

/** Servers remember the objects of each route apart. */
function toRouteObject({route, object}: {readonly route: Route; readonly object: string}): string {
	return `${route.name}\0${object}`;
}

function findBest(candidates: readonly Candidate[]): Candidate {
	let best = candidates[0]!;
	for (const candidate of candidates) {
		if (candidate.tier < best.tier || (candidate.tier === best.tier && candidate.costMs < best.costMs)) {
			best = candidate;
		}
	}

	return best;
}
