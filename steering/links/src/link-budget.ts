/** Limits the bytes per second in one direction of a link by a token bucket. */

/** Time over which unused capacity accumulates, in milliseconds. */
const BURST_MS = 100;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link LinkBudget}. */
export interface LinkBudgetOptions {
	readonly bytesPerSecond: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Byte budget of one direction of a link. */
export class LinkBudget {
	readonly #bytesPerSecond: number;
	#bytes: number;
	#filledAtMs: number;

	constructor({bytesPerSecond, nowMs}: LinkBudgetOptions) {
		this.#bytesPerSecond = bytesPerSecond;
		this.#bytes = this.#maxBytes;
		this.#filledAtMs = nowMs;
	}

	/** Takes the bytes of an answer; returns false when the remaining capacity of the link does not allow it now. */
	tryTake({bytes, nowMs}: {readonly bytes: number; readonly nowMs: number}): boolean {
		const earnedBytes = (nowMs - this.#filledAtMs) * this.#bytesPerSecond / MILLISECONDS_PER_SECOND;
		this.#bytes = Math.min(this.#maxBytes, this.#bytes + earnedBytes);
		this.#filledAtMs = nowMs;
		// An answer larger than the burst is accepted when the bucket is full; the bucket then goes negative and refills first.
		if (this.#bytes < Math.min(bytes, this.#maxBytes)) {
			return false;
		}

		this.#bytes -= bytes;
		return true;
	}

	/** Time until the link has capacity for an answer of this size, in milliseconds. */
	waitMs({bytes}: {readonly bytes: number}): number {
		const missingBytes = Math.max(0, Math.min(bytes, this.#maxBytes) - this.#bytes);
		return Math.ceil(missingBytes * MILLISECONDS_PER_SECOND / this.#bytesPerSecond);
	}

	get #maxBytes(): number {
		return this.#bytesPerSecond * BURST_MS / MILLISECONDS_PER_SECOND;
	}
}
