/**
 * Limits the retries of one service to a ratio of its requests, for all instances together.
 *
 * In any window, an instance sends at most the ratio times its own mean number of requests in that window and in the
 * one before it. Both sides of this bound are sums over the instances, and over the restarts of one instance. So the
 * bound holds for the fleet without any communication between instances and for any number of restarts: a new process
 * starts with no requests and hence no retries. A retry counts from its start until one window after its end, as it may
 * arrive at a backend server at any time between its start and its end.
 */

/** Number of buckets in a window. */
const BUCKETS = 20;
/** Number of windows whose requests count. */
const COUNTED_WINDOWS = 2;

/** Options of {@link RetryWindow.tryTake} and {@link RetryWindow.use}. */
export interface RetryWindowOptions {
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Allowed retries per request. */
	readonly ratio: number;
}

/** The retries that an instance has used and may use. */
export interface RetryUse {
	/** Requests in the current window and in the one before. */
	readonly requests: number;
	/** Retries in the current window, including those that have not ended. */
	readonly retries: number;
	/** Maximum number of retries that those requests allow. */
	readonly most: number;
}

interface Bucket {
	/** Number of the time span that the bucket counts. */
	number: number;
	requests: number;
	endedRetries: number;
}

/** Counts the requests and retries of one service at this instance. */
export class RetryWindow {
	readonly #bucketMs: number;
	readonly #buckets: Bucket[] = Array.from({length: (COUNTED_WINDOWS * BUCKETS) + 1}, () => ({number: Number.NEGATIVE_INFINITY, requests: 0, endedRetries: 0}));
	#pendingRetries = 0;

	/** `windowMs` is the length of the window, in milliseconds. */
	constructor({windowMs}: {readonly windowMs: number}) {
		this.#bucketMs = windowMs / BUCKETS;
	}

	/** Records a request. */
	recordRequest(nowMs: number): void {
		this.#bucketAt(nowMs).requests += 1;
	}

	/** Takes one retry, to be followed by {@link recordEnd} or {@link giveBack}; returns false when the bound does not allow it. */
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

	/** Records that a retry has ended: it cannot arrive at a backend server any more. */
	recordEnd(nowMs: number): void {
		this.#pendingRetries -= 1;
		this.#bucketAt(nowMs).endedRetries += 1;
	}

	/** Returns a retry that was taken and not sent. */
	giveBack(): void {
		this.#pendingRetries -= 1;
	}

	/** Resets the counts of requests, but not of retries: after a pause of unknown length the arrival times of the requests are unknown. */
	forgetRequests(): void {
		for (const bucket of this.#buckets) {
			bucket.requests = 0;
		}
	}

	/** The used and the allowed retries in the window that ends now. */
	use({nowMs, ratio}: RetryWindowOptions): RetryUse {
		const end = this.#bucketIndexAt(nowMs);
		return {requests: this.#countRequests(end), retries: this.#countRetries(end), most: this.#maxRetries({end, ratio})};
	}

	/** Upper bound of the retries in any window that ends in a bucket. */
	#countRetries(end: number): number {
		return this.#pendingRetries + this.#sum({from: end - BUCKETS, read: bucket => bucket.endedRetries});
	}

	#maxRetries({end, ratio}: {readonly end: number; readonly ratio: number}): number {
		return ratio * this.#countRequests(end) / COUNTED_WINDOWS;
	}

	/** Lower bound of the requests in the two windows up to any time in a bucket. */
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
