/**
 * Chooses the backend server for a request by the expected response time.
 *
 * A server that has recently handled an object of a route is several times faster for this object: it is warm. It keeps
 * a few dozen objects in memory. Therefore each object has one server in each region, the first in a ranking that
 * is the same at all instances: a second server would have to load the object too and would evict another object for it.
 * The next server in the ranking takes over when the first one is unavailable or slow. A request that would wait too
 * long is refused rather than sent to a server that has to load its object, because under load this would take time
 * from all other requests. Servers that reported to this instance that they are leaving or want a pause get no requests,
 * but keep their position in the ranking, as other instances did not get the report and use the same ranking. The
 * ranking uses highest-random-weight hashing, see {@link rankObject}.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {BackendServerName, Route, ServiceName} from '@pomelopick/core.types';
import type {KnownServer} from '@pomelopick/steering.servers';
import {findBest, toRouteObject} from './candidates.js';
import type {Candidate} from './candidates.js';
import {DecisionCounts} from './decision-counts.js';
import {LoadEstimates} from './load-estimates.js';
import {RankingCache} from './object-ranking.js';
import type {ObjectRanking, RegionRanking} from './object-ranking.js';
import type {
	ObjectPlacement, ObjectPlacerOptions, PlaceObjectOptions, RecordAnswerOptions, UnevenDecision,
} from './object-placer-types.js';
import {
	findClosure, maxWaitMs, refuseLongWait, refuseWithoutServer,
} from './placement-refusal.js';
import type {PlacementRefusal} from './placement-refusal.js';
import {RecentObjects} from './recent-objects.js';
import {RecentOutcomes} from './recent-outcomes.js';
import {RegionCandidates} from './region-candidates.js';
import type {CandidateRequest} from './region-candidates.js';
import {groupByRegion} from './region-groups.js';
import type {RegionShares} from './region-plan.js';

/** Multiple of the expected time up to which a request counts towards the expectation of its route, where servers report their work factor: a few requests take much longer than all others. */
const MAX_RECORDED_FACTOR = 3;

/** Chooses servers for requests and updates its estimates from the responses. */
export class ObjectPlacer {
	readonly #options: ObjectPlacerOptions;
	readonly #rankings = new RankingCache();
	readonly #recent = new RecentObjects();
	readonly #outcomes = new RecentOutcomes();
	readonly #estimates: LoadEstimates;
	readonly #decisions = new DecisionCounts();
	readonly #regionCandidates: RegionCandidates;

	constructor(options: ObjectPlacerOptions) {
		this.#options = options;
		this.#regionCandidates = new RegionCandidates({...options, recent: this.#recent, decisions: this.#decisions});
		this.#estimates = new LoadEstimates(options);
	}

	/** Share of a service's objects that is sent to other regions, from 0 to 1. */
	spillShare(service: ServiceName): number {
		return this.#estimates.spillShare(service);
	}

	/** Whether the servers of a service report their work factor. */
	reportsWorkFactor(service: ServiceName): boolean {
		return this.#estimates.spreadOf(service).isBounded;
	}

	/** Current shares of the requests of this region's callers by service and region, for the services that are spread. */
	listRegionShares(): ReadonlyMap<ServiceName, RegionShares> {
		return this.#estimates.listRegionShares();
	}

	/** Choices by the decision for uneven regions and servers that changed them. */
	countDecisions(): ReadonlyMap<UnevenDecision, number> {
		return this.#decisions.counts;
	}

	/** Chooses a server, or returns why there is none. */
	place(options: PlaceObjectOptions): Either<PlacementRefusal, ObjectPlacement> {
		const {service, route, deadlineMs, admit, nowMs} = options;
		const request = {
			...options,
			includesPaused: false,
			spread: this.#estimates.spreadOf(service),
			expectation: this.#estimates.expectationOf(route),
			prefersServer: route.prefersWarmServers && options.object !== undefined,
		};
		const unpaused = this.#listCandidates(request);
		// A server that failed recently is still better than none.
		const candidates = unpaused.length > 0 ? unpaused : this.#listCandidates({...request, includesPaused: true});
		if (candidates.length === 0) {
			return Left(this.#refuseWithoutCandidate(options));
		}

		const best = findBest(candidates);
		const maxMs = maxWaitMs({route, deadlineMs, nowMs});
		const refusal = admit?.({
			waitMs: best.waitMs, expectedMs: best.expectedMs, maxWaitMs: maxMs, reliableTimes: this.#estimates.findReliableTimes({route, placement: best, nowMs}),
		});
		if (refusal) {
			return Left(refusal);
		}

		return best.waitMs < maxMs ? Right(best) : Left(refuseLongWait({service, waitMs: best.waitMs, maxMs}));
	}

	/** Whether a server that was chosen earlier is still usable, not leaving and not paused at its own request. */
	isStillUsable({known: {server}, nowMs}: {readonly known: KnownServer; readonly nowMs: number}): boolean {
		const {servers, unavailableUntilMs} = this.#options;
		return servers.findUsable(server.name)?.server.startedAtMs === server.startedAtMs && unavailableUntilMs({server, nowMs}) === undefined;
	}

	/** Updates the estimates from a response. */
	recordAnswer({route, object, placement, heldMs, workFactor = 1, nowMs}: RecordAnswerOptions): void {
		const {service} = placement.known.server;
		const {reportsWorkFactor} = this.#options.observations.get(placement.known.server);
		if (reportsWorkFactor) {
			this.#estimates.spreadOf(service).recordWorkFactorReported();
		}

		this.#outcomes.record({service, outcome: 'answered', nowMs});
		const maxMs = reportsWorkFactor ? placement.expectedMs / placement.workFactor * MAX_RECORDED_FACTOR : Number.POSITIVE_INFINITY;
		this.#estimates.expectationOf(route).record({isWarm: placement.isWarm, heldMs: Math.min(heldMs / workFactor, maxMs)});
		if (object !== undefined) {
			this.#recent.record({server: placement.known.server.name, object: toRouteObject({route, object})});
		}
	}

	/** Removes the record of the objects in a server's memory. */
	forget(server: BackendServerName): void {
		this.#recent.forget(server);
	}

	#refuseWithoutCandidate({service, route, avoid, nowMs}: PlaceObjectOptions): PlacementRefusal {
		const {servers, regions, region, unavailableUntilMs, rateClosedUntilMs, random} = this.#options;
		const isHome = ({server}: KnownServer): boolean => route.homeRegions.length === 0 || route.homeRegions.includes(regions.get(server.failureDomain) ?? region);
		const untried = servers.listUsable(service).filter(known => isHome(known) && !avoid.has(known.server.name));
		return refuseWithoutServer({
			service,
			closures: untried.map(known => findClosure({
				known, unavailableUntilMs, rateClosedUntilMs, nowMs,
			})),
			recent: this.#outcomes.record({service, outcome: 'refused', nowMs}),
			nowMs,
			random,
		});
	}

	#listCandidates(request: CandidateRequest): readonly Candidate[] {
		const {route: {homeRegions: homes}, spread, nowMs} = request;
		const ranking = this.#rankingOf(request);
		const allowed = homes.length === 0 ? ranking.regions : ranking.regions.filter(group => homes.includes(group.region));
		const isSpread = spread.updateShares(nowMs);
		return isSpread ? this.#listSpread({request, regions: spread.orderRegions(allowed)}) : this.#listNear({request, allowed, part: ranking.part});
	}

	/** Candidates for a service that is spread over the regions: the first region in the order that has any. */
	#listSpread({request, regions}: {readonly request: CandidateRequest; readonly regions: readonly RegionRanking[]}): readonly Candidate[] {
		const {region} = this.#options;
		for (const group of regions) {
			const candidates = this.#regionCandidates.list({request, group});
			if (candidates.length > 0) {
				this.#decisions.record({decision: 'other-region', isTaken: group.region !== region});
				return candidates;
			}
		}

		return [];
	}

	/** Candidates for a service whose requests stay in their region while it has room. */
	#listNear({request, allowed, part}: {readonly request: CandidateRequest; readonly allowed: readonly RegionRanking[]; readonly part: number}): readonly Candidate[] {
		const {region} = this.#options;
		const {service, nowMs} = request;
		const [otherRegion, ...furtherRegions] = allowed.filter(group => group.region !== region);
		const ownRegion = allowed.find(group => group.region === region);
		const ownCandidates = ownRegion ? this.#regionCandidates.list({request, group: ownRegion}) : [];
		const spill = this.#estimates.spillOf({service, nowMs});
		if (ownCandidates.length > 0) {
			const best = findBest(ownCandidates);
			spill.record({waitMs: best.waitMs, expectedMs: best.expectedMs - best.waitMs, nowMs});
		}

		const leavesRegion = ownCandidates.length === 0 || (otherRegion !== undefined && part < spill.share);
		const otherCandidates = leavesRegion && otherRegion ? this.#regionCandidates.list({request, group: otherRegion}) : [];
		if (otherCandidates.length > 0) {
			// The servers of the own region are candidates too when the other region cannot respond in time.
			return findBest(otherCandidates).tier === 0 ? otherCandidates : [...otherCandidates, ...ownCandidates];
		}

		return ownCandidates.length > 0 ? ownCandidates : furtherRegions.flatMap(group => this.#regionCandidates.list({request, group}));
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
}
