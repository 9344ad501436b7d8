/**
 * Budget for attempts beyond the first, one a service at an instance.
 *
 * A token bucket filled by a share of the calls, so that retries and hedges add at most that share to the load however
 * many calls fail; see "Site Reliability Engineering" (Beyer et al., 2016), chapter 21, "per-client retry budget", and
 * the retry budget of Twitter's Finagle.
 */
const TOKENS_PER_CALL = 0.1;
/** Refill that lets a service with few calls retry at all, in tokens per second. */
const LEAST_TOKENS_PER_SECOND = 5;
const MOST_TOKENS = 50;
const MILLISECONDS_PER_SECOND = 1000;

/** A token bucket. */
export class RetryBudget {
	#tokens = MOST_TOKENS;
	#refilledAtMs: number;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#refilledAtMs = nowMs;
	}

	/** Notes a call, which earns a share of a token. */
	noteCall(): void {
		this.#tokens = Math.min(MOST_TOKENS, this.#tokens + TOKENS_PER_CALL);
	}

	/** Gives a token back whose attempt was not made. */
	giveBack(): void {
		this.#tokens = Math.min(MOST_TOKENS, this.#tokens + 1);
	}

	/** Takes a token for one more attempt; false when none is left. */
	tryTake({nowMs}: {readonly nowMs: number}): boolean {
		const earned = (nowMs - this.#refilledAtMs) * LEAST_TOKENS_PER_SECOND / MILLISECONDS_PER_SECOND;
		this.#tokens = Math.min(MOST_TOKENS, this.#tokens + earned);
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
