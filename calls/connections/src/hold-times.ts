/** Tracks how long connections were lent to completed calls, so that a long call is not treated as a silent connection. */

/** Number of the most recent calls whose hold times are kept. */
const RECORDED_CALLS = 64;
/** Minimum of recorded calls before there is a threshold: the first calls to complete are the shortest ones and would set it too low. */
const MIN_RECORDED_CALLS = 16;
/** A connection without data for this many times the longest recorded call is an outlier. */
const SILENCE_FACTOR = 2;

/** Recent hold times of the connections to one backend server. */
export class HoldTimes {
	readonly #holdTimesMs: number[] = [];
	#nextPosition = 0;

	/** Records a call that got a complete response. */
	record(heldMs: number): void {
		this.#holdTimesMs[this.#nextPosition] = heldMs;
		this.#nextPosition = (this.#nextPosition + 1) % RECORDED_CALLS;
	}

	/** Time without a received byte above which a connection may be silent, in milliseconds; undefined while too few calls are recorded. */
	get silenceThresholdMs(): number | undefined {
		return this.#holdTimesMs.length < MIN_RECORDED_CALLS ? undefined : Math.max(...this.#holdTimesMs) * SILENCE_FACTOR;
	}
}
