/**
 * Rate limits that backend servers name in their responses.
 *
 * A limit applies to the requests of all instances together, from the first response that names it to the first one
 * that does not. Instances tell each other what they heard as records with a version: of two records about one start of
 * a server, the one with the higher version is newer.
 */
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Maximum number of starts that are kept; the ones recorded first are removed first. */
const MAX_STARTS = 8192;
/** Maximum difference of the clocks of a server and of the instance that heard its limit, in milliseconds. */
const CLOCK_TOLERANCE_MS = 1000;

/** What is known of the rate limit of one start of a server. */
export interface RateLimitRecord extends ServerStart {
	/** Requests per second from all instances together; undefined: the server no longer names a limit. */
	readonly requestsPerSecond: number | undefined;
	/** Orders the records about one start. */
	readonly version: number;
}

/** Options of {@link NamedRateLimits.hear}. */
export interface HearRateLimitOptions {
	readonly server: ServerStart;
	/** Limit in the response, in requests per second; undefined if it has none. */
	readonly requestsPerSecond: number | undefined;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly sentAtMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Wall-clock time, in milliseconds: a record of another instance that is not known here has a lower version, unless it was made at the same time. */
	readonly wallClockMs: number;
}

/** Options of {@link NamedRateLimits.keepForStart}. */
export interface KeepRateLimitOptions {
	/** The start that was known until now. */
	readonly server: ServerStart;
	/** Wall-clock time of the server's next start, in milliseconds. */
	readonly startedAtMs: number;
}

interface KnownRateLimit {
	readonly record: RateLimitRecord;
	/** Monotonic time at which this instance learned of it, in milliseconds. */
	readonly learnedAtMs: number;
}

/** The rate limits of servers, as this instance heard of them in responses or was told by other instances. */
export class NamedRateLimits {
	readonly #known = new ServerStartMap<KnownRateLimit>({maxStarts: MAX_STARTS});

	/** The newest record about a server; undefined when it never named a limit. */
	recordOf(server: ServerStart): RateLimitRecord | undefined {
		return this.#known.get(server)?.record;
	}

	/** Requests per second that a server accepts from all instances together; undefined: it names no limit. */
	requestsPerSecond(server: ServerStart): number | undefined {
		return this.recordOf(server)?.requestsPerSecond;
	}

	/**
	 * Applies the limit in a response, or its absence; returns the new record if it changes what is known.
	 *
	 * Responses may overtake each other. A lower limit applies at once, a higher one or none only if the request was sent
	 * after the lower one was known here.
	 */
	hear({server: {name, startedAtMs}, requestsPerSecond, sentAtMs, nowMs, wallClockMs}: HearRateLimitOptions): RateLimitRecord | undefined {
		const known = this.#known.get({name, startedAtMs});
		if (requestsPerSecond === known?.record.requestsPerSecond) {
			return undefined;
		}

		if (known && sentAtMs < known.learnedAtMs && !isLower({requestsPerSecond}, known.record)) {
			return undefined;
		}

		const record: RateLimitRecord = {
			name, startedAtMs, requestsPerSecond, version: Math.max((known?.record.version ?? 0) + 1, wallClockMs),
		};
		this.#known.set(record, {record, learnedAtMs: nowMs});
		return record;
	}

	/**
	 * Applies a limit to the next start of its server if it was heard after that start began: responses of a server may arrive
	 * before its entry. Returns the record about the next start if it is new.
	 */
	keepForStart({server, startedAtMs}: KeepRateLimitOptions): RateLimitRecord | undefined {
		const known = this.#known.get(server);
		const isOfNextStart = known?.record.requestsPerSecond !== undefined && known.record.version + CLOCK_TOLERANCE_MS >= startedAtMs;
		if (!isOfNextStart || this.#known.get({name: server.name, startedAtMs})) {
			return undefined;
		}

		const record = {...known.record, startedAtMs};
		this.#known.set(record, {...known, record});
		return record;
	}

	/** Applies the record of another instance; returns whether it is newer than what was known. */
	receive({record, nowMs}: {readonly record: RateLimitRecord; readonly nowMs: number}): boolean {
		const known = this.#known.get(record);
		const isNewer = known === undefined || record.version > known.record.version || (record.version === known.record.version && isLower(record, known.record));
		if (isNewer) {
			this.#known.set(record, {record, learnedAtMs: nowMs});
		}

		return isNewer;
	}
}

/** Whether a limit is lower than another; no limit is the highest. */
function isLower(limit: Pick<RateLimitRecord, 'requestsPerSecond'>, other: Pick<RateLimitRecord, 'requestsPerSecond'>): boolean {
	return (limit.requestsPerSecond ?? Number.POSITIVE_INFINITY) < (other.requestsPerSecond ?? Number.POSITIVE_INFINITY);
}
