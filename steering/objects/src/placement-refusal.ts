/** What a caller is told whose request no backend server can take, and when it should come back. */
import type {RefusalReason, Route, ServiceName} from '@pomelopick/core.types';

/** Shortest time after which a refused caller is told to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200;
const NO_SERVER_RETRY_AFTER_MS = 500;
/** Longest time over which callers are spread that come back after a pause of servers, in milliseconds. */
const MAX_RETRY_SPREAD_MS = 2000;
/** Wait, as a share of the route's target latency, beyond which a request is refused: the queue that it would join makes all behind it late too. */
const MAX_WAIT_SHARE = 0.8;

/** Why no server was chosen, and when to come back. */
export interface PlacementRefusal {
	readonly reason: RefusalReason;
	readonly detail: string;
	readonly retryAfterMs: number;
}

/** Options of {@link maxWaitMs}. */
export interface MaxWaitOptions {
	readonly route: Pick<Route, 'targetLatencyMs'>;
	/** Monotonic time by which an answer is of use, in milliseconds. */
	readonly deadlineMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Longest time for which a request may wait for a slot of its server, in milliseconds. */
export function maxWaitMs({route, deadlineMs, nowMs}: MaxWaitOptions): number {
	return Math.min(deadlineMs - nowMs, route.targetLatencyMs * MAX_WAIT_SHARE);
}

/** Refuses a request whose server has too long a queue. */
export function refuseLongWait({service, waitMs, mostMs}: {readonly service: ServiceName; readonly waitMs: number; readonly mostMs: number}): PlacementRefusal {
	return {
		reason: 'queue-timeout',
		detail: `the shortest wait at a backend server of ${service} is ${Math.round(waitMs)} ms, the request may wait ${Math.round(mostMs)} ms`,
		retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
	};
}

/** Options of {@link refuseWithoutServer}. */
export interface RefuseWithoutServerOptions {
	readonly service: ServiceName;
	/** Monotonic times until which the service's servers want nothing, in milliseconds; undefined for one that said nothing of the kind. */
	readonly closedUntilMs: ReadonlyArray<number | undefined>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Refuses a request that no server can take. Where all of them asked for a pause, callers come back after the first pause, spread over a while. */
export function refuseWithoutServer({service, closedUntilMs, nowMs, random}: RefuseWithoutServerOptions): PlacementRefusal {
	const firstEndMs = Math.min(...closedUntilMs.map(untilMs => untilMs ?? Number.NEGATIVE_INFINITY));
	if (!Number.isFinite(firstEndMs)) {
		return {reason: 'no-backend-server', detail: `no backend server of ${service} can take the request`, retryAfterMs: NO_SERVER_RETRY_AFTER_MS};
	}

	const pauseMs = firstEndMs - nowMs;
	return {
		reason: 'backend-paused',
		detail: `the backend servers of ${service} want no requests, the first of them for ${Math.round(pauseMs)} ms`,
		retryAfterMs: pauseMs + (random() * Math.max(MIN_RETRY_AFTER_MS, Math.min(pauseMs, MAX_RETRY_SPREAD_MS))),
	};
}
