/** How long a backend server is expected to work on a request, with and without the object in its memory. */

/** First guesses, as shares of the route's target latency. */
const WARM_SHARE = 0.5;
const COLD_SHARE = 1.5;
/** Weight of an answer that came sooner than expected, and of one that came later: the queue before a request lengthens its time, nothing shortens it. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.01;

/** Expected times of one route. */
export class WorkExpectation {
	#warmMs: number;
	#coldMs: number;

	constructor({targetLatencyMs}: {readonly targetLatencyMs: number}) {
		this.#warmMs = targetLatencyMs * WARM_SHARE;
		this.#coldMs = targetLatencyMs * COLD_SHARE;
	}

	/** Expected time, in milliseconds. */
	expectedMs(isWarm: boolean): number {
		return isWarm ? this.#warmMs : Math.max(this.#warmMs, this.#coldMs);
	}

	/** Learns from an answer. */
	record({isWarm, heldMs}: {readonly isWarm: boolean; readonly heldMs: number}): void {
		if (isWarm) {
			this.#warmMs = approach({from: this.#warmMs, to: heldMs});
		} else {
			this.#coldMs = approach({from: this.#coldMs, to: heldMs});
		}
	}
}

function approach({from, to}: {readonly from: number; readonly to: number}): number {
	return from + ((to - from) * (to < from ? FASTER_WEIGHT : SLOWER_WEIGHT));
}
