/**
 * Tells a burst from an overload by whether the queue has been empty of late.
 *
 * As in Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012, a queue that empties within an interval
 * absorbs a burst, and one that does not only adds delay. Applied to the admission of requests as in Maurer,
 * "Fail at Scale", ACM Queue 13(8), 2015, but decided at arrival, so that nobody waits and is then refused.
 */

/** Time without an empty queue after which it counts as standing, in waits that a burst may cause. */
const STANDING_AFTER_BURSTS = 2;

/** Options of {@link BurstPatience.patienceMs}. */
export interface PatienceOptions {
	/** Wait that is accepted whatever the queue did before, in milliseconds. */
	readonly leastMs: number;
	/** Wait that a burst may cause, in milliseconds. */
	readonly burstMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Longest expected wait with which a call may join one queue. */
export class BurstPatience {
	#lastEmptyAtMs: number;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#lastEmptyAtMs = nowMs;
	}

	/** Notes the calls that wait as another arrives. */
	recordArrival({waiting, nowMs}: {readonly waiting: number; readonly nowMs: number}): void {
		if (waiting === 0) {
			this.#lastEmptyAtMs = nowMs;
		}
	}

	/** Longest expected wait for a call that arrives now, in milliseconds. */
	patienceMs({leastMs, burstMs, nowMs}: PatienceOptions): number {
		const isStanding = nowMs - this.#lastEmptyAtMs > STANDING_AFTER_BURSTS * burstMs;
		return isStanding ? leastMs : Math.max(leastMs, burstMs);
	}
}
