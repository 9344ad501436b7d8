/**
 * Budget for attempts beyond the first; each instance has one for each service.
 *
 * A token bucket to which every call adds a fraction of a token, so that retries and hedges add at most that fraction to
 * the load, however many calls fail; see "Site Reliability Engineering" (Beyer et al., 2016), chapter 21, "per-client retry budget", and
 * the retry budget of Twitter's Finagle.
 */
const TOKENS_PER_CALL = 0.1;
/** Refill over time, which lets a service with few calls retry at all, in tokens per second. */
const MIN_TOKENS_PER_SECOND = 5;
const MAX_TOKENS = 50;
const MILLISECONDS_PER_SECOND = 1000;

/** Token bucket for retries and hedges. */
export class RetryBudget {
	#tokens = MAX_TOKENS;
	#refilledAtMs: number;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#refilledAtMs = nowMs;
	}

	/** Records a call, which adds a fraction of a token. */
	recordCall(): void {
		this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_CALL);
	}

	/** Returns a token whose attempt was not made. */
	returnToken(): void {
		this.#tokens = Math.min(MAX_TOKENS, this.#tokens + 1);
	}

	/** Takes a token for one more attempt; false when none is left. */
	tryTake({nowMs}: {readonly nowMs: number}): boolean {
		const earned = (nowMs - this.#refilledAtMs) * MIN_TOKENS_PER_SECOND / MILLISECONDS_PER_SECOND;
		this.#tokens = Math.min(MAX_TOKENS, this.#tokens + earned);
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
