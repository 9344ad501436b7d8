/** How long connections were lent to calls that were answered, so that a long call is not taken for a silent connection. */

/** Calls that are remembered. */
const REMEMBERED = 64;
/** Answers from which on something is known: the first to come are those of the shortest calls. */
const LEAST_REMEMBERED = 16;
/** A connection that is quiet for so many times the longest remembered call is out of the ordinary. */
const QUIET_FACTOR = 2;

/** The last hold times of one backend server. */
export class HoldTimes {
	readonly #holdsMs: number[] = [];
	#next = 0;

	/** Notes a call that was answered whole. */
	note(heldMs: number): void {
		this.#holdsMs[this.#next] = heldMs;
		this.#next = (this.#next + 1) % REMEMBERED;
	}

	/** Time without a byte that no remembered call explains, in milliseconds; undefined while too few are remembered. */
	get unexplainedMs(): number | undefined {
		return this.#holdsMs.length < LEAST_REMEMBERED ? undefined : Math.max(...this.#holdsMs) * QUIET_FACTOR;
	}
}
