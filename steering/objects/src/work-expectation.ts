/** Estimates the time of a request at a backend server, with (warm) and without (cold) the object in its memory. */

/** Initial estimates, as shares of the route's target latency. */
const WARM_SHARE = 0.5;
const COLD_SHARE = 1.5;
/** Weights of a response that was faster than expected, and of a slower one: a queue before the request can lengthen its time, while nothing shortens it. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.01;
/** Number of responses from which an estimate is known: the influence of the initial one is then down to a third where it was too high. */
const MIN_ANSWERS = 5;

/** The estimates for one route. */
export class WorkExpectation {
	#warmMs: number;
	#coldMs: number;
	#warmAnswers = 0;
	#coldAnswers = 0;

	constructor({targetLatencyMs}: {readonly targetLatencyMs: number}) {
		this.#warmMs = targetLatencyMs * WARM_SHARE;
		this.#coldMs = targetLatencyMs * COLD_SHARE;
	}

	/** Expected time, in milliseconds. */
	expectedMs(isWarm: boolean): number {
		return isWarm ? this.#warmMs : Math.max(this.#warmMs, this.#coldMs);
	}

	/** Whether the expected time is based on enough responses. */
	isKnown(isWarm: boolean): boolean {
		return (isWarm ? this.#warmAnswers : this.#coldAnswers) >= MIN_ANSWERS;
	}

	/** Updates the estimate from a response. */
	record({isWarm, heldMs}: {readonly isWarm: boolean; readonly heldMs: number}): void {
		if (isWarm) {
			this.#warmAnswers += 1;
			this.#warmMs = approach({from: this.#warmMs, to: heldMs});
		} else {
			this.#coldAnswers += 1;
			this.#coldMs = approach({from: this.#coldMs, to: heldMs});
		}
	}
}

/** Moves an estimate towards a measured time. */
function approach({from, to}: {readonly from: number; readonly to: number}): number {
	return from + ((to - from) * (to < from ? FASTER_WEIGHT : SLOWER_WEIGHT));
}
