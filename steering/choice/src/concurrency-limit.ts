/**
 * Limits the concurrent calls to one backend server.
 *
 * The limit is called proven: it is the number of concurrent calls that the server has shown it can serve, rather than
 * the number of slots in its configuration.
 */

/** How an attempt ended, for the server's concurrency limit. */
export type SlotEnd = 'answered' | 'shed' | 'leaving' | 'failed' | 'connect-failed' | 'timed-out' | 'cancelled';

/** Initial pauses after a server shed a call and after it failed, and the maximum pause, in milliseconds; doubled for each failure in a row. */
const SHED_PAUSE_MS = 20;
const FAILURE_PAUSE_MS = 200;
const MAX_PAUSE_MS = 5000;
const MAX_DOUBLINGS = 8;
/** Weight of the newest hold time in the moving average. */
const HOLD_TIME_WEIGHT = 0.1;

/** Options of {@link ConcurrencyLimit.recordEnd}. */
export interface RecordEndOptions {
	readonly end: SlotEnd;
	/** Time for which the attempt held its slot, in milliseconds. */
	readonly heldMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/**
 * Limit of one server. It grows by one with each answered call, up to the configured slots, and shrinks when the server
 * sheds, leaves, fails or times out.
 *
 * Additive increase as in Chiu and Jain, "Analysis of the Increase and Decrease Algorithms", Computer Networks 17, 1989.
 */
export class ConcurrencyLimit {
	#slots: number;
	#proven = 1;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;
	#failuresInRow = 0;
	#holdMs: number | undefined;

	constructor({slots}: {readonly slots: number}) {
		this.#slots = slots;
	}

	/** Concurrent calls that the server may get. */
	get proven(): number {
		return this.#proven;
	}

	/** Moving average of the hold time of answered calls, in milliseconds; undefined before the first one. */
	get holdMs(): number | undefined {
		return this.#holdMs;
	}

	/** Applies a changed number of slots of the configuration. */
	useSlots(slots: number): void {
		this.#slots = slots;
		this.#proven = Math.min(this.#proven, slots);
	}

	/** Whether the server gets no calls for now, after it shed a call, left or failed. */
	isPaused(nowMs: number): boolean {
		return nowMs < this.#pausedUntilMs;
	}

	/** Updates the limit from the end of an attempt. */
	recordEnd({end, heldMs, nowMs}: RecordEndOptions): void {
		switch (end) {
			case 'answered': {
				this.#failuresInRow = 0;
				this.#proven = Math.min(this.#slots, this.#proven + 1);
				this.#holdMs = this.#holdMs === undefined ? heldMs : this.#holdMs + (HOLD_TIME_WEIGHT * (heldMs - this.#holdMs));
				break;
			}

			case 'shed':
			case 'leaving': {
				this.#proven = Math.max(1, this.#proven - 1);
				this.#pause({firstMs: SHED_PAUSE_MS, nowMs});
				break;
			}

			case 'failed': {
				this.#proven = 1;
				// A single response may be lost in the network, so a server that accepts connections is paused from the second failure in a row.
				if (this.#failuresInRow === 0) {
					this.#failuresInRow = 1;
				} else {
					this.#pause({firstMs: FAILURE_PAUSE_MS, nowMs});
				}

				break;
			}

			case 'connect-failed': {
				this.#proven = 1;
				this.#pause({firstMs: FAILURE_PAUSE_MS, nowMs});
				break;
			}

			case 'timed-out': {
				this.#proven = Math.max(1, this.#proven - 1);
				break;
			}

			case 'cancelled': {
				// The cancellation by the caller is no information about the server.
				break;
			}
		}
	}

	#pause({firstMs, nowMs}: {readonly firstMs: number; readonly nowMs: number}): void {
		this.#pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, firstMs * (2 ** Math.min(MAX_DOUBLINGS, this.#failuresInRow)));
		this.#failuresInRow += 1;
	}
}
