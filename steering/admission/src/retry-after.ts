/** Time after which the caller of a refused request should return. */

/** Minimum and maximum times sent to a refused caller, in milliseconds. Whatever is expected further ahead is a guess. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 10_000;
/** Time added at full pressure, in milliseconds: the queue is refilled as fast as it empties, so that its length says little about when there is room. */
const PRESSURE_RETRY_AFTER_MS = 3000;
/** Share of the time by which returns are spread, so that callers that were refused together do not return together. */
const SPREAD_SHARE = 0.5;

/** Options of {@link retryAfterMs}. */
export interface RetryAfterOptions {
	/** Time until there is room if nothing else is accepted, in milliseconds. */
	readonly untilRoomMs: number;
	/** Pressure at the service, from 0 to 1. */
	readonly pressure: number;
	/** Number from 0 up to 1. */
	readonly random: number;
}

/** Time after which the caller should return, in milliseconds. */
export function retryAfterMs({untilRoomMs, pressure, random}: RetryAfterOptions): number {
	const expectedMs = Math.max(MIN_RETRY_AFTER_MS, untilRoomMs) + (PRESSURE_RETRY_AFTER_MS * pressure);
	return Math.min(MAX_RETRY_AFTER_MS, expectedMs * (1 + (SPREAD_SHARE * random)));
}
