/**
 * Lists the servers of one region that a request may go to, with their expected times and costs.
 *
 * An object goes to the first server in its ranking. Servers that are slow, unavailable or loaded above their bound leave
 * it to the next one; {@link ServiceSpread} keeps the bounds and divides an object that is requested very often.
 */
import type {BackendServerName} from '@pomelopick/core.types';
import type {KnownServer, ServerObservations} from '@pomelopick/steering.servers';
import {evaluateCandidate, findBest, toRouteObject} from './candidates.js';
import type {AvailableServer, AvailableServers, Candidate} from './candidates.js';
import type {DecisionCounts} from './decision-counts.js';
import type {ObjectPlacerOptions, PlaceObjectOptions} from './object-placer-types.js';
import type {RegionRanking} from './object-ranking.js';
import type {RecentObjects} from './recent-objects.js';
import type {ServiceSpread} from './service-spread.js';
import type {WorkExpectation} from './work-expectation.js';

/** Number of servers of a region that an object is sent to; further ones take over for those that are slow. */
const SERVERS_PER_OBJECT = 1;
/** Multiple of the expected time from which a server is considered slow. */
const SLOW_FACTOR = 4;

/** Options of {@link RegionCandidates}. */
export interface RegionCandidatesOptions extends ObjectPlacerOptions {
	/** Objects that servers are expected to have in memory. */
	readonly recent: RecentObjects;
	readonly decisions: DecisionCounts;
}

/** A request for which candidates are listed. */
export interface CandidateRequest extends PlaceObjectOptions {
	/** Whether to include servers that are paused after failures. */
	readonly includesPaused: boolean;
	readonly spread: ServiceSpread;
	readonly expectation: WorkExpectation;
	/** Whether the request should go to the servers of its object. */
	readonly prefersServer: boolean;
}

/** Options of {@link RegionCandidates.list}. */
export interface RegionRequest {
	readonly request: CandidateRequest;
	/** Servers of the region. */
	readonly group: RegionRanking;
}

interface EvaluateServerOptions extends AvailableServer {
	readonly request: CandidateRequest;
	/** Whether the server is in another region than this instance. */
	readonly isOtherRegion: boolean;
}

/** Evaluates the servers of a region for requests. */
export class RegionCandidates {
	readonly #options: RegionCandidatesOptions;

	constructor(options: RegionCandidatesOptions) {
		this.#options = options;
	}

	/** Candidates for the object among the servers of one region. */
	list({request, group}: RegionRequest): readonly Candidate[] {
		const evaluate = (available: readonly AvailableServer[]): readonly Candidate[] => available.map(({known, rank}) => this.#evaluateServer({
			request, known, rank, isOtherRegion: group.region !== this.#options.region,
		}));
		const {withinBound, aboveBound} = this.#listAvailable({request, group});
		if (withinBound.length === 0 || aboveBound.length === 0) {
			return evaluate(withinBound.length > 0 ? withinBound : aboveBound);
		}

		return this.#choosePassedOn({kept: evaluate(aboveBound), passedOn: evaluate(withinBound)});
	}

	/** A server above its bound keeps the object as long as waiting there takes less time than loading the object elsewhere, which also takes capacity. */
	#choosePassedOn({kept, passedOn}: {readonly kept: readonly Candidate[]; readonly passedOn: readonly Candidate[]}): readonly Candidate[] {
		const isPassedOn = findBest(passedOn).costMs < findBest(kept).costMs;
		this.#options.decisions.record({decision: 'passed-on', isTaken: isPassedOn});
		return isPassedOn ? passedOn : kept;
	}

	/** Servers of a region that the request may go to, in the order in which the object prefers them. */
	#listAvailable({request, group}: RegionRequest): AvailableServers {
		const {spread, prefersServer, nowMs} = request;
		const maxServers = prefersServer ? SERVERS_PER_OBJECT : group.servers.length;
		const aboveBound: AvailableServer[] = [];
		const withinBound: AvailableServer[] = [];
		let preferred = 0;
		for (const [rank, {server}] of this.#orderServers({request, group}).entries()) {
			const known = preferred < maxServers ? this.#findAvailable({name: server.name, request}) : undefined;
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
	#orderServers({request, group}: RegionRequest): readonly KnownServer[] {
		const {route, object = '', spread, prefersServer, nowMs} = request;
		if (!spread.isBounded) {
			return group.servers;
		}

		const count = prefersServer ? spread.recordRequest({object: toRouteObject({route, object}), group, nowMs}) : group.servers.length;
		const first = Math.floor(this.#options.random() * count);
		this.#options.decisions.record({decision: 'divided', isTaken: prefersServer && first > 0});
		return first === 0 ? group.servers : [...group.servers.slice(first, count), ...group.servers.slice(0, first), ...group.servers.slice(count)];
	}

	/** The server, if it may get the request now. */
	#findAvailable({name, request: {avoid, nowMs, mayAsk = false, includesPaused}}: {readonly name: BackendServerName; readonly request: CandidateRequest}): KnownServer | undefined {
		const {servers, unavailableUntilMs, isUnreachable, mayTakeRate} = this.#options;
		const known = servers.findUsable(name);
		if (!known || avoid.has(name)) {
			return undefined;
		}

		const {server} = known;
		const isAvailable = !isUnreachable(server) && unavailableUntilMs({server, nowMs}) === undefined && (includesPaused || !this.#observationsOf(known).isPaused(nowMs));
		return isAvailable && mayTakeRate({known, mayAsk, nowMs}) ? known : undefined;
	}

	/** Estimates the times and the cost of a request at a server. */
	#evaluateServer({request, known, rank, isOtherRegion}: EvaluateServerOptions): Candidate {
		const {route, object, expectation, nowMs} = request;
		const {server} = known;
		const observations = this.#observationsOf(known);
		const isWarm = !route.prefersWarmServers || (object !== undefined && (rank === 0 || this.#options.recent.has({server: server.name, object: toRouteObject({route, object})})));
		const workFactor = observations.workFactorAt(nowMs);
		const workMs = expectation.expectedMs(isWarm) * observations.slownessAt(nowMs) * workFactor;
		return evaluateCandidate({
			known,
			rank,
			isWarm,
			workMs,
			workFactor,
			inFlight: this.#estimateInFlight({request, known}),
			failureShare: observations.failureShare,
			isOtherRegion,
			isOtherDomain: server.failureDomain !== this.#options.failureDomain,
			targetLatencyMs: route.targetLatencyMs,
		});
	}

	#estimateInFlight({request: {spread, prefersServer, nowMs}, known}: {readonly request: CandidateRequest; readonly known: KnownServer}): number {
		if (spread.isBounded) {
			return spread.estimateInFlight({known, nowMs});
		}

		const observations = this.#observationsOf(known);
		return prefersServer ? observations.estimateInFlight(nowMs) : observations.estimateForFreeChoice(nowMs);
	}

	#observationsOf({server}: KnownServer): ServerObservations {
		return this.#options.observations.get(server);
	}
}
