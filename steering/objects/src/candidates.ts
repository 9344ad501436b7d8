/** Servers that a request may go to, with their expected times and costs. */
import type {Route} from '@pomelopick/core.types';
import type {KnownServer} from '@pomelopick/steering.servers';
import type {ObjectPlacement} from './object-placer-types.js';

/** Cost of a request to another region, in milliseconds: the delay and the traffic. */
const OTHER_REGION_COST_MS = 80;
/** Cost of a request to another failure domain of the region, in milliseconds: the delay and the traffic. */
const OTHER_DOMAIN_COST_MS = 15;
/** Cost of each position in the ranking, in milliseconds, so that all instances choose between equal servers in the same order. */
const RANK_COST_MS = 0.5;
/** Cost of a certain failure, as a multiple of the time of the work: the work is done again at another server. */
const FAILURE_FACTOR = 2;

/** A server that a request may go to, in the order in which its object prefers them. */
export interface AvailableServer {
	readonly known: KnownServer;
	/** Position in the order of the object, from 0. */
	readonly rank: number;
}

/** Servers that a request may go to, by whether their load is within their bound; all are where none is bounded. */
export interface AvailableServers {
	readonly withinBound: readonly AvailableServer[];
	readonly aboveBound: readonly AvailableServer[];
}

/** A server with its cost for a request. */
export interface Candidate extends ObjectPlacement {
	/** Lower tiers are preferred. 0: the cost is within the target latency of the route. 1: an idle server that has to load the object. 2: any other. */
	readonly tier: number;
	/** Expected time plus the costs of distance, failures and rank, in milliseconds; the lowest in a tier is preferred. */
	readonly costMs: number;
}

/** Options of {@link evaluateCandidate}. */
export interface EvaluateCandidateOptions extends AvailableServer {
	/** Whether the server is expected to have the object in memory. */
	readonly isWarm: boolean;
	/** Expected time of the work, which includes `workFactor`, in milliseconds. */
	readonly workMs: number;
	readonly workFactor: number;
	/** Estimated requests in flight at the server. */
	readonly inFlight: number;
	/** Share of the requests to the server that fail, from 0 to 1. */
	readonly failureShare: number;
	/** Whether the server is in another region than this instance. */
	readonly isOtherRegion: boolean;
	/** Whether the server is in another failure domain than this instance. */
	readonly isOtherDomain: boolean;
	readonly targetLatencyMs: number;
}

/** The expected times and the cost of a request at a server. */
export function evaluateCandidate({known, rank, isWarm, workMs, workFactor, inFlight, failureShare, isOtherRegion, isOtherDomain, targetLatencyMs}: EvaluateCandidateOptions): Candidate {
	const {slots} = known.server;
	const waitMs = inFlight < slots ? 0 : (inFlight - slots + 1) * workMs / slots;
	const distanceMs = distanceCostMs({isOtherRegion, isOtherDomain});
	const failureMs = failureShare * workMs * FAILURE_FACTOR;
	const costMs = waitMs + workMs + distanceMs + failureMs + (rank * RANK_COST_MS);
	const tier = costMs <= targetLatencyMs ? 0 : (isWarm || waitMs > 0 ? 2 : 1);
	return {
		known, isWarm, tier, waitMs, expectedMs: waitMs + workMs, workFactor, costMs,
	};
}

function distanceCostMs({isOtherRegion, isOtherDomain}: Pick<EvaluateCandidateOptions, 'isOtherRegion' | 'isOtherDomain'>): number {
	if (isOtherRegion) {
		return OTHER_REGION_COST_MS;
	}

	return isOtherDomain ? OTHER_DOMAIN_COST_MS : 0;
}

/** The candidate of the lowest tier and, in it, the lowest cost. */
export function findBest(candidates: readonly Candidate[]): Candidate {
	let best = candidates[0]!;
	for (const candidate of candidates) {
		if (candidate.tier < best.tier || (candidate.tier === best.tier && candidate.costMs < best.costMs)) {
			best = candidate;
		}
	}

	return best;
}

/** Key of an object of a route: servers keep the objects of each route separately. */
export function toRouteObject({route, object}: {readonly route: Route; readonly object: string}): string {
	return `${route.name}\0${object}`;
}
