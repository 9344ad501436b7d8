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
import type {KnownServer, ServerObservations} from '@pomelopick/steering.servers';
import {evaluateCandidate, findBest, toRouteObject} from './candidates.js';
import type {AvailableServer, AvailableServers, Candidate} from './candidates.js';
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
import {groupByRegion} from './region-groups.js';
import type {RegionShares} from './region-plan.js';
import type {ServiceSpread} from './service-spread.js';
import type {WorkExpectation} from './work-expectation.js';

/** Cost of a request to another region, in milliseconds: the delay and the traffic. */
const OTHER_REGION_COST_MS = 80;
/** Number of servers of a region that an object is sent to; further ones take over for those that are slow. */
const SERVERS_PER_OBJECT = 1;
/** Multiple of the expected time from which a server is considered slow. */
const SLOW_FACTOR = 4;
/** Multiple of the expected time up to which a request counts towards the expectation of its route, where servers report their work factor: a few requests take much longer than all others. */
const MAX_RECORDED_FACTOR = 3;

interface ListCandidatesOptions extends PlaceObjectOptions {
	/** Whether to include servers that are paused after failures. */
	readonly includesPaused: boolean;
	readonly spread: ServiceSpread;
	readonly expectation: WorkExpectation;
	/** Whether the request should go to the servers of its object. */
	readonly prefersServer: boolean;
}

interface EvaluateServerOptions extends AvailableServer {
	readonly options: ListCandidatesOptions;
	/** Cost of a request to the region of the server, in milliseconds. */
	readonly regionCostMs: number;
}

/** Chooses servers for requests and updates its estimates from the responses. */
export class ObjectPlacer {
	readonly #options: ObjectPlacerOptions;
	readonly #rankings = new RankingCache();
	readonly #recent = new RecentObjects();
	readonly #outcomes = new RecentOutcomes();
	readonly #estimates: LoadEstimates;
	readonly #decisions = new DecisionCounts();

	constructor(options: ObjectPlacerOptions) {
		this.#options = options;
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
		const listOptions = {
			...options,
			includesPaused: false,
			spread: this.#estimates.spreadOf(service),
			expectation: this.#estimates.expectationOf(route),
			prefersServer: route.prefersWarmServers && options.object !== undefined,
		};
		const unpaused = this.#listCandidates(listOptions);
		// A server that failed recently is still better than none.
		const candidates = unpaused.length > 0 ? unpaused : this.#listCandidates({...listOptions, includesPaused: true});
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
		const {reportsWorkFactor} = this.#observationsOf(placement.known);
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

	#listCandidates(options: ListCandidatesOptions): readonly Candidate[] {
		const {route: {homeRegions: homes}, spread, nowMs} = options;
		const ranking = this.#rankingOf(options);
		const allowed = homes.length === 0 ? ranking.regions : ranking.regions.filter(group => homes.includes(group.region));
		const isSpread = spread.updateShares(nowMs);
		return isSpread ? this.#listSpread({options, regions: spread.orderRegions(allowed)}) : this.#listNear({options, allowed, part: ranking.part});
	}

	/** Candidates for a service that is spread over the regions: the first region in the order that has any. */
	#listSpread({options, regions}: {readonly options: ListCandidatesOptions; readonly regions: readonly RegionRanking[]}): readonly Candidate[] {
		const {region} = this.#options;
		for (const group of regions) {
			const candidates = this.#evaluateRegion({options, group, regionCostMs: group.region === region ? 0 : OTHER_REGION_COST_MS});
			if (candidates.length > 0) {
				this.#decisions.record({decision: 'other-region', isTaken: group.region !== region});
				return candidates;
			}
		}

		return [];
	}

	/** Candidates for a service whose requests stay in their region while it has room. */
	#listNear({options, allowed, part}: {readonly options: ListCandidatesOptions; readonly allowed: readonly RegionRanking[]; readonly part: number}): readonly Candidate[] {
		const {region} = this.#options;
		const {service, nowMs} = options;
		const [otherRegion, ...furtherRegions] = allowed.filter(group => group.region !== region);
		const ownRegion = allowed.find(group => group.region === region);
		const ownCandidates = ownRegion ? this.#evaluateRegion({options, group: ownRegion, regionCostMs: 0}) : [];
		const spill = this.#estimates.spillOf({service, nowMs});
		if (ownCandidates.length > 0) {
			const best = findBest(ownCandidates);
			spill.record({waitMs: best.waitMs, expectedMs: best.expectedMs - best.waitMs, nowMs});
		}

		const leavesRegion = ownCandidates.length === 0 || (otherRegion !== undefined && part < spill.share);
		const otherCandidates = leavesRegion && otherRegion ? this.#evaluateRegion({options, group: otherRegion, regionCostMs: OTHER_REGION_COST_MS}) : [];
		if (otherCandidates.length > 0) {
			// The servers of the own region are candidates too when the other region cannot respond in time.
			return findBest(otherCandidates).tier === 0 ? otherCandidates : [...otherCandidates, ...ownCandidates];
		}

		return ownCandidates.length > 0 ? ownCandidates : furtherRegions.flatMap(group => this.#evaluateRegion({options, group, regionCostMs: OTHER_REGION_COST_MS}));
	}

	/** Candidates for the object among the servers of one region. */
	#evaluateRegion({options, group, regionCostMs}: {readonly options: ListCandidatesOptions; readonly group: RegionRanking; readonly regionCostMs: number}): readonly Candidate[] {
		const evaluate = (available: readonly AvailableServer[]): readonly Candidate[] => available.map(({known, rank}) => this.#evaluateServer({
			options, known, rank, regionCostMs,
		}));
		const {withinBound, aboveBound} = this.#listAvailable({options, group});
		if (withinBound.length === 0 || aboveBound.length === 0) {
			return evaluate(withinBound.length > 0 ? withinBound : aboveBound);
		}

		return this.#choosePassedOn({kept: evaluate(aboveBound), passedOn: evaluate(withinBound)});
	}

	/** A server above its bound keeps the object as long as waiting there takes less time than loading the object elsewhere, which also takes capacity. */
	#choosePassedOn({kept, passedOn}: {readonly kept: readonly Candidate[]; readonly passedOn: readonly Candidate[]}): readonly Candidate[] {
		const isPassedOn = findBest(passedOn).costMs < findBest(kept).costMs;
		this.#decisions.record({decision: 'passed-on', isTaken: isPassedOn});
		return isPassedOn ? passedOn : kept;
	}

	/** Servers of a region that the request may go to, in the order in which the object prefers them. */
	#listAvailable({options, group}: {readonly options: ListCandidatesOptions; readonly group: RegionRanking}): AvailableServers {
		const {spread, prefersServer, nowMs} = options;
		const maxServers = prefersServer ? SERVERS_PER_OBJECT : group.servers.length;
		const aboveBound: AvailableServer[] = [];
		const withinBound: AvailableServer[] = [];
		let preferred = 0;
		for (const [rank, {server}] of this.#orderServers({options, group}).entries()) {
			const known = preferred < maxServers ? this.#findAvailable({name: server.name, options}) : undefined;
			if (known) {
				const isWithinBound = !spread.isBounded || spread.isWithinBound({known, nowMs});
				(isWithinBound ? withinBound : aboveBound).push({known, rank});
				// Slow servers and those above the bound do not count, so that the next one in the ranking can take over.
				preferred += Number(isWithinBound && this.#observationsOf(known).slownessAt(nowMs) < SLOW_FACTOR);
			}
		}

		return {withinBound, aboveBound};
	}

	/**
	 * Servers of a region in the order in which the request prefers them: that of their rank, but beginning with a random one
	 * of the servers of a divided object, or of all servers for a request that prefers none.
	 */
	#orderServers({options, group}: {readonly options: ListCandidatesOptions; readonly group: RegionRanking}): readonly KnownServer[] {
		const {route, object = '', spread, prefersServer, nowMs} = options;
		if (!spread.isBounded) {
			return group.servers;
		}

		const count = prefersServer ? spread.recordRequest({object: toRouteObject({route, object}), group, nowMs}) : group.servers.length;
		const first = Math.floor(this.#options.random() * count);
		this.#decisions.record({decision: 'divided', isTaken: prefersServer && first > 0});
		return first === 0 ? group.servers : [...group.servers.slice(first, count), ...group.servers.slice(0, first), ...group.servers.slice(count)];
	}

	/** The server, if it may get the request now. */
	#findAvailable({name, options: {avoid, nowMs, mayAsk = false, includesPaused}}: {readonly name: BackendServerName; readonly options: ListCandidatesOptions}): KnownServer | undefined {
		const {servers, unavailableUntilMs, isUnreachable, mayTakeRate} = this.#options;
		const known = servers.findUsable(name);
		if (!known || avoid.has(name) || isUnreachable(known.server) || unavailableUntilMs({server: known.server, nowMs}) !== undefined || (!includesPaused && this.#observationsOf(known).isPaused(nowMs))) {
			return undefined;
		}

		return mayTakeRate({known, mayAsk, nowMs}) ? known : undefined;
	}

	/** Estimates the times and the cost of a request at a server. */
	#evaluateServer({options, known, rank, regionCostMs}: EvaluateServerOptions): Candidate {
		const {route, object, spread, expectation, prefersServer, nowMs} = options;
		const {server} = known;
		const observations = this.#observationsOf(known);
		const isWarm = !route.prefersWarmServers || (object !== undefined && (rank === 0 || this.#recent.has({server: server.name, object: toRouteObject({route, object})})));
		const workFactor = observations.workFactorAt(nowMs);
		const workMs = expectation.expectedMs(isWarm) * observations.slownessAt(nowMs) * workFactor;
		const unbounded = (): number => prefersServer ? observations.estimateInFlight(nowMs) : observations.estimateForFreeChoice(nowMs);
		const inFlight = spread.isBounded ? spread.estimateInFlight({known, nowMs}) : unbounded();
		return evaluateCandidate({
			known, rank, isWarm, workMs, workFactor, inFlight, failureShare: observations.failureShare, regionCostMs, isOtherDomain: server.failureDomain !== this.#options.failureDomain, targetLatencyMs: route.targetLatencyMs,
		});
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
