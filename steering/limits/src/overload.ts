/** Decides from the load of an instance how many requests it takes at once, and whether it asks callers to connect elsewhere. */

/** Mean delay of the event loop from which on an instance is overloaded, in milliseconds: a request takes two turns of the loop or more, which together use up a target latency of half a second. */
const OVERLOAD_DELAY_MS = 250;
/** Consecutive reports with such a delay that count as overload; a single one may be a process that was stopped for a moment. */
const OVERLOADED_REPORTS = 2;
/** Consecutive calm reports after which an instance is no longer full. */
const CALM_REPORTS = 3;
/** Shares of the requests or bytes that an instance may hold from which on it is full, and below which it is calm. */
const FULL_SHARE = 0.9;
const CALM_SHARE = 0.7;
/** Factors of the maximum number of requests after an overloaded report and after any other one. */
const DECREASE = 0.7;
const INCREASE = 1.1;
/** Minimum of the maximum number of requests, so that an instance keeps measuring how many it can serve. */
const MIN_REQUESTS = 16;

/** What an instance has decided about its load. */
export interface OverloadState {
	/** Maximum number of requests in progress. */
	readonly requestLimit: number;
	/** Whether callers are asked to connect to other instances. */
	readonly isFull: boolean;
	/** Consecutive reports with a long delay of the event loop. */
	readonly overloadedReports: number;
	/** Consecutive reports without load. */
	readonly calmReports: number;
}

/** Load of an instance in one report. */
export interface InstanceLoad {
	readonly inProgress: number;
	/** Number of requests in progress that the settings allow. */
	readonly maxRequests: number;
	/** Bytes of bodies that are held, as a share of those that are allowed. */
	readonly heldShare: number;
	/** Mean delay of the event loop since the report before, in milliseconds. */
	readonly delayMs: number;
}

/** State of an instance that has just started. */
export function initialOverload(maxRequests: number): OverloadState {
	return {
		requestLimit: maxRequests, isFull: false, overloadedReports: 0, calmReports: 0,
	};
}

/**
 * Returns the state after a report. It responds to requests that take more processor time than the instance has: the
 * number of requests in progress falls by a factor while the event loop is late, and rises slowly again.
 */
export function nextOverload(state: OverloadState, load: InstanceLoad): OverloadState {
	const {inProgress, heldShare, delayMs} = load;
	const isLate = delayMs >= OVERLOAD_DELAY_MS;
	const overloadedReports = isLate ? state.overloadedReports + 1 : 0;
	const isOverloaded = overloadedReports >= OVERLOADED_REPORTS;
	const requestLimit = nextRequestLimit({
		state, load, isLate, isOverloaded,
	});
	const share = Math.max(inProgress / requestLimit, heldShare);
	const calmReports = !isLate && share < CALM_SHARE ? state.calmReports + 1 : 0;
	const isFull = isOverloaded || share >= FULL_SHARE || (state.isFull && calmReports < CALM_REPORTS);
	return {
		requestLimit, isFull, overloadedReports, calmReports,
	};
}

interface NextRequestLimitOptions {
	readonly state: OverloadState;
	readonly load: InstanceLoad;
	/** Whether the event loop was late in this report. */
	readonly isLate: boolean;
	/** Whether it was late in enough consecutive reports. */
	readonly isOverloaded: boolean;
}

/** Lowers the limit while the instance is overloaded, and raises it after a report without delay; a single late report leaves it. */
function nextRequestLimit({state: {requestLimit}, load: {inProgress, maxRequests}, isLate, isOverloaded}: NextRequestLimitOptions): number {
	if (isOverloaded) {
		return Math.min(requestLimit, Math.max(MIN_REQUESTS, Math.floor(Math.min(requestLimit, inProgress) * DECREASE)));
	}

	return isLate ? requestLimit : Math.min(maxRequests, Math.ceil(requestLimit * INCREASE));
}
