/**
 * Distinguishes a burst from an overload by whether the queue was empty recently.
 *
 * As in Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012, a queue that empties within an interval
 * absorbs a burst, while a standing queue only adds delay. This is applied to the admission of requests as in Maurer,
 * "Fail at Scale", ACM Queue 13(8), 2015, but the decision is made at arrival, so that no call waits and is then refused.
 */

/** Time without an empty queue after which it is a standing queue, as a multiple of the wait that a burst may cause. */
const STANDING_AFTER_BURSTS = 2;

/** Options of {@link BurstPatience.patienceMs}. */
export interface PatienceOptions {
	/** Wait that is always accepted, also with a standing queue, in milliseconds. */
	readonly minMs: number;
	/** Wait that a burst may cause, in milliseconds. */
	readonly burstMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Decides the maximum expected wait with which a call may join a queue. */
export class BurstPatience {
	#lastEmptyAtMs: number;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#lastEmptyAtMs = nowMs;
	}

	/** Records the number of waiting calls when another one arrives. */
	recordArrival({waiting, nowMs}: {readonly waiting: number; readonly nowMs: number}): void {
		if (waiting === 0) {
			this.#lastEmptyAtMs = nowMs;
		}
	}

	/** Maximum expected wait for a call that arrives now, in milliseconds. */
	patienceMs({minMs, burstMs, nowMs}: PatienceOptions): number {
		const isStanding = nowMs - this.#lastEmptyAtMs > STANDING_AFTER_BURSTS * burstMs;
		return isStanding ? minMs : Math.max(minMs, burstMs);
	}
}
