/**
 * How long entries are still believed that are missing after the store was away.
 *
 * Entries lapse while the store is away, although what they stand for lives; those are back within LAPSED_HOLD_MS of
 * its return. They lapse all together: when only some are missing, the store was there and this instance cut off from
 * it, and what is missing was taken out on purpose, possibly long ago. What is removed later than the store's return
 * can explain was taken out on purpose too.
 */

/** Time after the store's return in which lapsed entries come back, in milliseconds. */
const RE_REGISTRATION_MS = 2000;
/** Time after the store's return in which a removal may still be a lapse, in milliseconds. */
const EXPIRY_REPORT_WINDOW_MS = 500;
/** Part of the entries that must be missing at once to count as lapsed. */
const MIN_EXPIRED_SHARE = 0.5;
/** Longest time for which a removed entry is believed, in milliseconds: below the time in which a leaving server must get nothing more. */
const MAX_RETENTION_MS = 1600;

/** Options of {@link retainedUntilMs}. */
export interface RetainedUntilOptions {
	/** Monotonic time at which the store answered again after it had failed, in milliseconds. */
	readonly returnedAtMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Monotonic time until which an entry that is found missing now is believed; undefined: it is gone. */
export function retainedUntilMs({returnedAtMs, nowMs}: RetainedUntilOptions): number | undefined {
	return nowMs - returnedAtMs <= EXPIRY_REPORT_WINDOW_MS ? Math.min(returnedAtMs + RE_REGISTRATION_MS, nowMs + MAX_RETENTION_MS) : undefined;
}

/** Whether so many entries went at once that they lapsed. */
export function isMassExpiry({before, after}: {readonly before: number; readonly after: number}): boolean {
	return before > 0 && (before - after) / before > MIN_EXPIRED_SHARE;
}
