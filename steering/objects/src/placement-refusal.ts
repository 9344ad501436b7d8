/** Refusals of requests for which no backend server is available, with the time after which the caller should retry. */
import type {RefusalReason, Route, ServiceName} from '@pomelopick/core.types';

/** Minimum retry time sent to a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200;
/** Retry time sent when no server is usable, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 500;
/** Maximum time over which the retries of callers are spread after a pause of the servers, in milliseconds. */
const MAX_RETRY_SPREAD_MS = 2000;
/** Maximum wait as a share of the route's target latency: a longer queue would make the requests behind this one late too. */
const MAX_WAIT_SHARE = 0.8;

/** Why no server was chosen, and when to retry. */
export interface PlacementRefusal {
	readonly reason: RefusalReason;
	readonly detail: string;
	readonly retryAfterMs: number;
}

/** Options of {@link maxWaitMs}. */
export interface MaxWaitOptions {
	readonly route: Pick<Route, 'targetLatencyMs'>;
	/** Monotonic time after which a response is no longer of use, in milliseconds. */
	readonly deadlineMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Maximum time for which a request may wait for a slot of its server, in milliseconds. */
export function maxWaitMs({route, deadlineMs, nowMs}: MaxWaitOptions): number {
	return Math.min(deadlineMs - nowMs, route.targetLatencyMs * MAX_WAIT_SHARE);
}

/** Refuses a request because the queue of its server is too long. */
export function refuseLongWait({service, waitMs, maxMs}: {readonly service: ServiceName; readonly waitMs: number; readonly maxMs: number}): PlacementRefusal {
	return {
		reason: 'queue-timeout',
		detail: `the shortest expected wait at a backend server of ${service} is ${Math.round(waitMs)} ms, the maximum for this request is ${Math.round(maxMs)} ms`,
		retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
	};
}

/** Options of {@link refuseWithoutServer}. */
export interface RefuseWithoutServerOptions {
	readonly service: ServiceName;
	/** Monotonic times until which the servers of the service want no requests, in milliseconds; undefined for one that reported no such time. */
	readonly closedUntilMs: ReadonlyArray<number | undefined>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Refuses a request that no server can take. If all servers are paused or leaving, callers retry after the pause that ends first, spread over some time. */
export function refuseWithoutServer({service, closedUntilMs, nowMs, random}: RefuseWithoutServerOptions): PlacementRefusal {
	const firstEndMs = Math.min(...closedUntilMs.map(untilMs => untilMs ?? Number.NEGATIVE_INFINITY));
	if (!Number.isFinite(firstEndMs)) {
		return {reason: 'no-backend-server', detail: `no backend server of ${service} is available for the request`, retryAfterMs: NO_SERVER_RETRY_AFTER_MS};
	}

	const pauseMs = firstEndMs - nowMs;
	return {
		reason: 'backend-paused',
		detail: `all remaining backend servers of ${service} are paused or leaving; the first pause ends in ${Math.round(pauseMs)} ms`,
		retryAfterMs: pauseMs + (random() * Math.max(MIN_RETRY_AFTER_MS, Math.min(pauseMs, MAX_RETRY_SPREAD_MS))),
	};
}
