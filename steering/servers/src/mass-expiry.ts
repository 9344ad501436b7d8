/**
 * Decides how long to keep entries that are missing after a store outage.
 *
 * Entries expire during a store outage although the servers and instances that they describe are still running. These
 * register again within RE_REGISTRATION_MS after the store is available again. An outage expires all entries together.
 * When only some are missing, the store was available and only this instance was cut off from it, so that the missing
 * entries were removed on purpose, possibly long ago. A removal that comes too late after the outage to be caused by it
 * was made on purpose too.
 */

/** Time after the end of a store outage within which expired entries are registered again, in milliseconds. */
const RE_REGISTRATION_MS = 2000;
/** Time after the end of a store outage within which a removal may still be an expiry, in milliseconds. */
const EXPIRY_REPORT_WINDOW_MS = 500;
/** Share of the entries above which those that are missing at once count as a mass expiry. */
const MIN_EXPIRED_SHARE = 0.5;
/**
 * Maximum time for which a removed entry is kept, in milliseconds: below the time after which a leaving server must get
 * no more requests.
 */
const MAX_RETENTION_MS = 1600;

/** Options of {@link retainedUntilMs}. */
export interface RetainedUntilOptions {
	/** Monotonic time at which the store answered again after an outage, in milliseconds. */
	readonly returnedAtMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Monotonic time until which an entry that is found missing now is kept, in milliseconds; undefined: it was removed on purpose. */
export function retainedUntilMs({returnedAtMs, nowMs}: RetainedUntilOptions): number | undefined {
	return nowMs - returnedAtMs <= EXPIRY_REPORT_WINDOW_MS ? Math.min(returnedAtMs + RE_REGISTRATION_MS, nowMs + MAX_RETENTION_MS) : undefined;
}

/** Whether so many entries disappeared at once that they expired in a store outage. */
export function isMassExpiry({before, after}: {readonly before: number; readonly after: number}): boolean {
	return before > 0 && (before - after) / before > MIN_EXPIRED_SHARE;
}
