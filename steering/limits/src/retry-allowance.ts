/**
 * Divides the allowance of sends to further backend servers that holds however few requests there are.
 *
 * The allowance of a service is cut into parts, each a key of the store. An instance claims a part by a write that
 * takes effect only when nobody else has written the key since, and uses it for GRANT_USABLE_MS from before that write.
 * A part is claimed again only by an instance that has itself seen it unchanged for {@link partReuseMs}: no clock is
 * compared, no lease is trusted, and no number of instances is needed. Two uses of a part are thus farther apart than a
 * window and the time for which a send may be on its way.
 */

/** Parts of an allowance. */
export const ALLOWANCE_PARTS = 10;
/** Share of the allowance that is divided; the rest is for requests and sends that arrive late. */
const DIVIDED_SHARE = 0.75;
/** Time for which a claimed part is used, in milliseconds. */
export const GRANT_USABLE_MS = 5000;
/** Time for which a send may be on its way, in milliseconds. */
const LATE_ARRIVAL_MS = 5000;

/** Bounds of one service over the whole fleet. */
export interface RetryBounds {
	/** Further sends for each request. */
	readonly ratio: number;
	/** Further sends in a window that are allowed besides. */
	readonly allowance: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
}

/** Further sends that one part allows. */
export function partSize({allowance}: Pick<RetryBounds, 'allowance'>): number {
	return Math.floor(allowance * DIVIDED_SHARE / ALLOWANCE_PARTS);
}

/** Time for which a part must have been seen unchanged before it is claimed again, in milliseconds. */
export function partReuseMs({windowMs}: Pick<RetryBounds, 'windowMs'>): number {
	return GRANT_USABLE_MS + windowMs + LATE_ARRIVAL_MS;
}

/** Options of {@link RetryGrant}. */
export interface RetryGrantOptions {
	/** Further sends that it allows. */
	readonly size: number;
	/** Monotonic time just before the claim was sent, in milliseconds. */
	readonly claimedAtMs: number;
}

/** A claimed part. */
export class RetryGrant {
	readonly #usableUntilMs: number;
	#left: number;

	constructor({size, claimedAtMs}: RetryGrantOptions) {
		this.#left = size;
		this.#usableUntilMs = claimedAtMs + GRANT_USABLE_MS;
	}

	/** Further sends that are left at a monotonic time, in milliseconds. */
	left(nowMs: number): number {
		return nowMs < this.#usableUntilMs ? this.#left : 0;
	}

	/** Takes one further send; false when none is left. */
	tryTake(nowMs: number): boolean {
		const isLeft = this.left(nowMs) > 0;
		this.#left -= Number(isLeft);
		return isLeft;
	}

	/** Gives a further send back that was not made. */
	giveBack(): void {
		this.#left += 1;
	}
}
