/** Refusals of requests for which no backend server is available, with the time after which the caller should retry. */
import type {RefusalReason, Route, ServiceName} from '@pomelopick/core.types';
import type {KnownServer, ServerStart} from '@pomelopick/steering.servers';
import type {OutcomeCounts} from './recent-outcomes.js';

/** Minimum retry time sent to a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200;
/** Retry time sent when no server is usable, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 500;
/** Maximum time over which the retries of callers are spread after a server takes requests again, in milliseconds. */
const MAX_RETRY_SPREAD_MS = 2000;
const MILLISECONDS_PER_SECOND = 1000;
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

/** A time in which a server wants no requests of this instance. */
export interface ServerClosure {
	/** Monotonic time, in milliseconds; infinite for a server that is leaving. */
	readonly untilMs: number;
	/** The server asked for a pause or is leaving, or the rate limit that it named is used up. */
	readonly cause: 'pause' | 'rate-limit';
}

/** Options of {@link findClosure}. */
export interface FindClosureOptions {
	/** Monotonic time until which a server asked for no requests, in milliseconds; undefined: it did not ask. */
	readonly unavailableUntilMs: (options: {readonly server: ServerStart; readonly nowMs: number}) => number | undefined;
	/** Monotonic time at which a server that names a rate limit may get another request of this instance, in milliseconds; undefined for other servers. */
	readonly rateClosedUntilMs: (known: KnownServer) => number | undefined;
	readonly known: KnownServer;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Why a server takes no request of this instance at its own request, and until when; undefined when it did not ask for this. */
export function findClosure({known, unavailableUntilMs, rateClosedUntilMs, nowMs}: FindClosureOptions): ServerClosure | undefined {
	const pausedUntilMs = unavailableUntilMs({server: known.server, nowMs});
	if (pausedUntilMs !== undefined) {
		return {untilMs: pausedUntilMs, cause: 'pause'};
	}

	const limitedUntilMs = rateClosedUntilMs(known);
	return limitedUntilMs === undefined ? undefined : {untilMs: limitedUntilMs, cause: 'rate-limit'};
}

/** Options of {@link refuseWithoutServer}. */
export interface RefuseWithoutServerOptions {
	readonly service: ServiceName;
	/** Closures of the servers of the service; undefined for one that did not ask for any. */
	readonly closures: ReadonlyArray<ServerClosure | undefined>;
	/** Outcomes of the requests of the service in the last second, with this refusal. */
	readonly recent: OutcomeCounts;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Refuses a request that no server can take. If all servers want no requests for now, callers retry after the first of them takes one again, spread over some time. */
export function refuseWithoutServer({service, closures, recent, nowMs, random}: RefuseWithoutServerOptions): PlacementRefusal {
	const first = findFirst(closures);
	if (!first || !Number.isFinite(first.untilMs)) {
		return {reason: 'no-backend-server', detail: `no backend server of ${service} is available for the request`, retryAfterMs: NO_SERVER_RETRY_AFTER_MS};
	}

	const waitMs = first.untilMs - nowMs;
	// A pause ends for all callers at once; servers with a rate limit take them at the rate of the answers.
	const expectedSpreadMs = first.cause === 'pause' ? waitMs : MILLISECONDS_PER_SECOND * recent.refused / Math.max(1, recent.answered);
	const retryAfterMs = waitMs + (random() * Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedSpreadMs, MAX_RETRY_SPREAD_MS)));
	return first.cause === 'pause'
		? {reason: 'backend-paused', detail: `all remaining backend servers of ${service} are paused or leaving; the first pause ends in ${Math.round(waitMs)} ms`, retryAfterMs}
		: {
			reason: 'backend-rate-limited',
			detail: `all remaining backend servers of ${service} have used up the rates that they named, are paused or leaving; the first takes another request in ${Math.round(waitMs)} ms`,
			retryAfterMs,
		};
}

/** The closure that ends first; undefined when a server has none. */
function findFirst(closures: ReadonlyArray<ServerClosure | undefined>): ServerClosure | undefined {
	let first: ServerClosure | undefined;
	for (const closure of closures) {
		if (!closure) {
			return undefined;
		}

		first = first && first.untilMs <= closure.untilMs ? first : closure;
	}

	return first;
}
