/**
 * Bounds the sends of one service to further backend servers by a ratio of its requests, over all instances together.
 *
 * An instance sends no more in any span of a window's length than the ratio of its own mean requests of that span and
 * of the one before it. Both sides of this bound add up over instances, and over the lives of one instance, so that it
 * holds for the fleet whatever the instances know of each other and however often they start anew: a new process has
 * earned nothing yet. A send counts from its start until a window after its end, as it may arrive at any time between.
 */

/** Buckets that a window is counted in. */
const BUCKETS = 20;
/** Windows whose requests count. */
const COUNTED_WINDOWS = 2;

/** Options of {@link RetryWindow.tryTake} and {@link RetryWindow.use}. */
export interface RetryWindowOptions {
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Further sends for each request. */
	readonly ratio: number;
}

/** How much of its credit an instance has used. */
export interface RetryUse {
	/** Requests that count now, those of the window and of the one before. */
	readonly requests: number;
	/** Further sends of the window, those that have not ended included. */
	readonly retries: number;
	/** Further sends that those requests allow. */
	readonly most: number;
}

interface Bucket {
	number: number;
	requests: number;
	endedRetries: number;
}

/** Requests and further sends of one service at this instance. */
export class RetryWindow {
	readonly #bucketMs: number;
	readonly #buckets: Bucket[] = Array.from({length: (COUNTED_WINDOWS * BUCKETS) + 1}, () => ({number: Number.NEGATIVE_INFINITY, requests: 0, endedRetries: 0}));
	#pendingRetries = 0;

	/** The window's length, in milliseconds. */
	constructor({windowMs}: {readonly windowMs: number}) {
		this.#bucketMs = windowMs / BUCKETS;
	}

	/** Notes a request. */
	recordRequest(nowMs: number): void {
		this.#bucketAt(nowMs).requests += 1;
	}

	/** Takes one further send, which {@link recordEnd} or {@link giveBack} must follow; false when the bound does not allow it. */
	tryTake({nowMs, ratio}: RetryWindowOptions): boolean {
		const current = this.#bucketIndexAt(nowMs);
		for (let end = current; end <= current + BUCKETS; end += 1) {
			if (this.#countRetries(end) + 1 > this.#maxRetries({end, ratio})) {
				return false;
			}
		}

		this.#pendingRetries += 1;
		return true;
	}

	/** Notes that a further send has ended: from now on it cannot arrive any more. */
	recordEnd(nowMs: number): void {
		this.#pendingRetries -= 1;
		this.#bucketAt(nowMs).endedRetries += 1;
	}

	/** Gives a further send back that was not made. */
	giveBack(): void {
		this.#pendingRetries -= 1;
	}

	/** Forgets the requests, but not what was sent: after a pause of unknown length it is not known when they came. */
	forgetRequests(): void {
		for (const bucket of this.#buckets) {
			bucket.requests = 0;
		}
	}

	/** How much of the credit is used in the window that ends now. */
	use({nowMs, ratio}: RetryWindowOptions): RetryUse {
		const end = this.#bucketIndexAt(nowMs);
		return {requests: this.#countRequests(end), retries: this.#countRetries(end), most: this.#maxRetries({end, ratio})};
	}

	/** Further sends that any window that ends in a bucket may hold. */
	#countRetries(end: number): number {
		return this.#pendingRetries + this.#sum({from: end - BUCKETS, read: bucket => bucket.endedRetries});
	}

	#maxRetries({end, ratio}: {readonly end: number; readonly ratio: number}): number {
		return ratio * this.#countRequests(end) / COUNTED_WINDOWS;
	}

	/** Requests that lie in the two windows up to any time of a bucket. */
	#countRequests(end: number): number {
		return this.#sum({from: end - (COUNTED_WINDOWS * BUCKETS) + 1, read: bucket => bucket.requests});
	}

	#sum({from, read}: {readonly from: number; readonly read: (bucket: Bucket) => number}): number {
		let sum = 0;
		for (const bucket of this.#buckets) {
			sum += bucket.number >= from ? read(bucket) : 0;
		}

		return sum;
	}

	#bucketIndexAt(nowMs: number): number {
		return Math.floor(nowMs / this.#bucketMs);
	}

	#bucketAt(nowMs: number): Bucket {
		const number = this.#bucketIndexAt(nowMs);
		const bucket = this.#buckets[number % this.#buckets.length]!;
		if (bucket.number !== number) {
			bucket.number = number;
			bucket.requests = 0;
			bucket.endedRetries = 0;
		}

		return bucket;
	}
}
