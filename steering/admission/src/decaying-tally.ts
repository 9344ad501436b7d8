/** Counts events with a weight that decays with their age. */

const MILLISECONDS_PER_SECOND = 1000;
/** Minimum age that a rate is based on, in milliseconds: the rate of the first events over a shorter time would be arbitrarily high. */
const MIN_AGE_MS = 250;

/** Options of {@link DecayingTally}. */
export interface DecayingTallyOptions {
	/** Time after which the weight of an event is down to 1/e, in milliseconds. */
	readonly decayMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** A count of recent events. */
export class DecayingTally {
	readonly #decayMs: number;
	readonly #startedAtMs: number;
	#sum = 0;
	#atMs: number;

	constructor({decayMs, nowMs}: DecayingTallyOptions) {
		this.#decayMs = decayMs;
		this.#startedAtMs = nowMs;
		this.#atMs = nowMs;
	}

	/** Adds an amount. */
	add(amount: number, nowMs: number): void {
		this.#sum = this.sum(nowMs) + amount;
		this.#atMs = nowMs;
	}

	/** Weighted count of the events. */
	sum(nowMs: number): number {
		return this.#sum * Math.exp((this.#atMs - nowMs) / this.#decayMs);
	}

	/** Events per second. The age of the tally is taken into account, so that the rate is not too low while the tally is new. */
	rate(nowMs: number): number {
		const windowMs = this.#decayMs * (1 - Math.exp(-Math.max(MIN_AGE_MS, this.ageMs(nowMs)) / this.#decayMs));
		return this.sum(nowMs) / windowMs * MILLISECONDS_PER_SECOND;
	}

	/** Time since the tally was created, in milliseconds. */
	ageMs(nowMs: number): number {
		return nowMs - this.#startedAtMs;
	}
}
