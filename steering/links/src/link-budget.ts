/** Bytes per second that one direction of a link may carry: a token bucket. */

/** Time over which unused bytes may be saved up, in milliseconds. */
const BURST_MS = 100;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link LinkBudget}. */
export interface LinkBudgetOptions {
	readonly bytesPerSecond: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Budget of one direction. */
export class LinkBudget {
	readonly #bytesPerSecond: number;
	#bytes: number;
	#filledAtMs: number;

	constructor({bytesPerSecond, nowMs}: LinkBudgetOptions) {
		this.#bytesPerSecond = bytesPerSecond;
		this.#bytes = this.#maxBytes;
		this.#filledAtMs = nowMs;
	}

	/** Takes the bytes of an answer; false when the link has no room for it now. */
	tryTake({bytes, nowMs}: {readonly bytes: number; readonly nowMs: number}): boolean {
		const earned = (nowMs - this.#filledAtMs) * this.#bytesPerSecond / MILLISECONDS_PER_SECOND;
		this.#bytes = Math.min(this.#maxBytes, this.#bytes + earned);
		this.#filledAtMs = nowMs;
		// An answer larger than the burst passes when the bucket is full, and is paid for afterwards.
		if (this.#bytes < Math.min(bytes, this.#maxBytes)) {
			return false;
		}

		this.#bytes -= bytes;
		return true;
	}

	/** Time until an answer of this size has room, in milliseconds. */
	waitMs({bytes}: {readonly bytes: number}): number {
		const missing = Math.max(0, Math.min(bytes, this.#maxBytes) - this.#bytes);
		return Math.ceil(missing * MILLISECONDS_PER_SECOND / this.#bytesPerSecond);
	}

	get #maxBytes(): number {
		return this.#bytesPerSecond * BURST_MS / MILLISECONDS_PER_SECOND;
	}
}
