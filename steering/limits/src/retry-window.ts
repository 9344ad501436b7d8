/**
 * Bounds the requests of one service that are sent to a further backend server, over all instances together.
 *
 * Each instance keeps to the ratio of its own requests, and to an equal part of the allowance that holds however few
 * requests there are. Ratios add up whatever the instances know of each other; parts add up to no more than the
 * allowance as long as an instance counts at least as many instances as there are. A restart forgets the window, and
 * with it the part that was used: half of the allowance is kept for that, so that all may restart once in a window.
 */
const ALLOWANCE_SHARE = 0.5;
const RATIO_SHARE = 0.9;
/** Buckets that a window is counted in. */
const BUCKETS = 20;

/** Bounds of one service over the whole fleet. */
export interface RetryBounds {
	/** Further sends for each request. */
	readonly ratio: number;
	/** Further sends in a window that are allowed besides. */
	readonly allowance: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
}

/** Options of {@link RetryWindow.tryTake}. */
export interface TryTakeRetryOptions {
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Instances that share the allowance, this one included. */
	readonly instances: number;
}

/** How much of its part of the budget an instance has used. */
export interface RetryUse {
	/** Requests and further sends in the window. */
	readonly requests: number;
	readonly retries: number;
	/** Further sends that the window allows this instance. */
	readonly most: number;
}

interface Bucket {
	number: number;
	requests: number;
	retries: number;
}

/** Requests and further sends of one service at this instance in a sliding window. */
export class RetryWindow {
	readonly #bounds: RetryBounds;
	readonly #bucketMs: number;
	readonly #buckets: Bucket[] = Array.from({length: BUCKETS + 1}, () => ({number: Number.NEGATIVE_INFINITY, requests: 0, retries: 0}));

	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		this.#bucketMs = bounds.windowMs / BUCKETS;
	}

	/** Notes a request. */
	noteRequest(nowMs: number): void {
		this.#bucketAt(nowMs).requests += 1;
	}

	/** Takes one further send; false when the bound does not allow it. */
	tryTake({nowMs, instances}: TryTakeRetryOptions): boolean {
		const {retries, most} = this.use({nowMs, instances});
		if (retries + 1 > most) {
			return false;
		}

		this.#bucketAt(nowMs).retries += 1;
		return true;
	}

	/** How much of the budget is used. */
	use({nowMs, instances}: TryTakeRetryOptions): RetryUse {
		const {ratio, allowance} = this.#bounds;
		const counts = this.#count(nowMs);
		return {...counts, most: (ratio * counts.requests * RATIO_SHARE) + (allowance * ALLOWANCE_SHARE / Math.max(1, instances))};
	}

	/** Gives a further send back that was not made. */
	giveBack(nowMs: number): void {
		const bucket = this.#bucketAt(nowMs);
		bucket.retries = Math.max(0, bucket.retries - 1);
	}

	#count(nowMs: number): {readonly requests: number; readonly retries: number} {
		const oldest = Math.floor(nowMs / this.#bucketMs) - BUCKETS;
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets) {
			if (bucket.number >= oldest) {
				requests += bucket.requests;
				retries += bucket.retries;
			}
		}

		return {requests, retries};
	}

	#bucketAt(nowMs: number): Bucket {
		const number = Math.floor(nowMs / this.#bucketMs);
		const bucket = this.#buckets[number % this.#buckets.length]!;
		if (bucket.number !== number) {
			bucket.number = number;
			bucket.requests = 0;
			bucket.retries = 0;
		}

		return bucket;
	}
}
