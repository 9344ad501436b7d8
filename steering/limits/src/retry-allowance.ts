/**
 * Divides the retry allowance of a service between the instances.
 *
 * The allowance is a fixed number of retries in each window, however few requests there are; it is added to the retries
 * that the ratio of requests allows. It is divided into parts, each of them a key of the store. An instance claims a part by a conditional
 * write, which succeeds only when the key did not change since the instance read it, and uses the part for
 * GRANT_USABLE_MS from just before that write. An instance claims a part again only after it has itself observed the key
 * unchanged for {@link partReuseMs}. So two uses of a part are farther apart than a window and the time for which a
 * retry may be in flight. This needs no comparison of clocks, no leases and no count of the instances.
 */

/** Number of parts of an allowance. */
export const ALLOWANCE_PARTS = 10;
/** Share of the allowance that is divided into parts; the rest is reserved for requests and retries that arrive late. */
const DIVIDED_SHARE = 0.75;
/** Time for which a claimed part may be used, in milliseconds. */
export const GRANT_USABLE_MS = 5000;
/** Maximum time for which a retry may be in flight, in milliseconds. */
const LATE_ARRIVAL_MS = 5000;

/** Retry bounds of one service for the whole fleet. A retry is a send to a further backend server. */
export interface RetryBounds {
	/** Allowed retries per request. */
	readonly ratio: number;
	/** Additional retries that are allowed in each window. */
	readonly allowance: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
}

/** Retries that one part allows. */
export function partSize({allowance}: Pick<RetryBounds, 'allowance'>): number {
	return Math.floor(allowance * DIVIDED_SHARE / ALLOWANCE_PARTS);
}

/** Time for which an instance must have observed a part unchanged before it claims the part again, in milliseconds. */
export function partReuseMs({windowMs}: Pick<RetryBounds, 'windowMs'>): number {
	return GRANT_USABLE_MS + windowMs + LATE_ARRIVAL_MS;
}

/** Options of {@link RetryGrant}. */
export interface RetryGrantOptions {
	/** Retries that the part allows. */
	readonly size: number;
	/** Monotonic time just before the claim was sent, in milliseconds. */
	readonly claimedAtMs: number;
}

/** A claimed part of an allowance. */
export class RetryGrant {
	readonly #usableUntilMs: number;
	#left: number;

	constructor({size, claimedAtMs}: RetryGrantOptions) {
		this.#left = size;
		this.#usableUntilMs = claimedAtMs + GRANT_USABLE_MS;
	}

	/** Remaining retries at a monotonic time, in milliseconds. */
	left(nowMs: number): number {
		return nowMs < this.#usableUntilMs ? this.#left : 0;
	}

	/** Takes one retry; returns false when none is left. */
	tryTake(nowMs: number): boolean {
		const isLeft = this.left(nowMs) > 0;
		this.#left -= Number(isLeft);
		return isLeft;
	}

	/** Returns a retry that was taken and not sent. */
	giveBack(): void {
		this.#left += 1;
	}
}
