/** How many calls one backend server may be given: what it has proven, not what its configuration promises. */

/** How an attempt ended, as far as a server's limit is concerned. */
export type SlotEnd = 'answered' | 'shed' | 'leaving' | 'failed' | 'connect-failed' | 'timed-out' | 'cancelled';

const SHED_PAUSE_MS = 20;
const FAILURE_PAUSE_MS = 200;
const MAX_PAUSE_MS = 5000;
const MAX_DOUBLINGS = 8;
const HOLD_TIME_WEIGHT = 0.1;

/** Options of {@link ConcurrencyLimit.recordEnd}. */
export interface RecordEndOptions {
	readonly end: SlotEnd;
	/** Time for which the slot was held, in milliseconds. */
	readonly heldMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/**
 * Limit of one server: grows by one with each answer up to the configured slots, shrinks when the server sheds or fails.
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

	/** Calls that the server may be given at once. */
	get proven(): number {
		return this.#proven;
	}

	/** Mean time of an answered call, in milliseconds; undefined before the first. */
	get holdMs(): number | undefined {
		return this.#holdMs;
	}

	/** Takes a changed configuration. */
	useSlots(slots: number): void {
		this.#slots = slots;
		this.#proven = Math.min(this.#proven, slots);
	}

	/** Whether the server is left alone after it shed or failed. */
	isPaused(nowMs: number): boolean {
		return nowMs < this.#pausedUntilMs;
	}

	/** Learns from the end of an attempt. */
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
				// One answer may be lost on its way; a server that takes connections is left alone from the second failure in a row on.
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
				// Says nothing about the server.
				break;
			}
		}
	}

	#pause({firstMs, nowMs}: {readonly firstMs: number; readonly nowMs: number}): void {
		this.#pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, firstMs * (2 ** Math.min(MAX_DOUBLINGS, this.#failuresInRow)));
		this.#failuresInRow += 1;
	}
}
