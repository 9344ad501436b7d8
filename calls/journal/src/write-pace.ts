/** When the next round of a shard may be sent to the store. */

/** A round of outcomes alone waits this many write intervals for an intent that it can go with. */
const OUTCOME_INTERVALS = 3;
const OUTAGE_PAUSE_MS = 200;
const OVERTAKEN_FOR_MS = 1000;
const OVERTAKEN_INTERVALS = 8;

/** Options of {@link WritePace}. */
export interface WritePaceOptions {
	/** Least time between two writes, in milliseconds. */
	readonly writeIntervalMs: () => number;
	/** Whether this instance is the shard's best owner as far as it knows. */
	readonly isFirstOwner: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Paces the writes of one shard. */
export class WritePace {
	readonly #options: WritePaceOptions;
	#lastWriteMs = Number.NEGATIVE_INFINITY;
	#failingUntilMs = Number.NEGATIVE_INFINITY;
	#overtakenUntilMs = Number.NEGATIVE_INFINITY;

	constructor(options: WritePaceOptions) {
		this.#options = options;
	}

	/** Whether the store failed so lately that it is not asked again yet. */
	get isFailing(): boolean {
		return this.#options.now() < this.#failingUntilMs;
	}

	/** Notes that a write is sent now. */
	noteWrite(): void {
		this.#lastWriteMs = this.#options.now();
	}

	/** Notes that the store does not answer. */
	noteOutage(): void {
		this.#failingUntilMs = this.#options.now() + OUTAGE_PAUSE_MS;
	}

	/** Notes that another owner wrote first. Of two owners that write at the same time the second best gives way for a while. */
	noteOvertaken(): void {
		this.#overtakenUntilMs = this.#options.now() + OVERTAKEN_FOR_MS;
	}

	/** Monotonic time at which a round may begin, in milliseconds. */
	dueMs({hasIntents}: {readonly hasIntents: boolean}): number {
		const {writeIntervalMs, isFirstOwner, now} = this.#options;
		const givesWay = now() < this.#overtakenUntilMs && !isFirstOwner();
		const intervals = Math.max(hasIntents ? 1 : OUTCOME_INTERVALS, givesWay ? OVERTAKEN_INTERVALS : 1);
		return this.#lastWriteMs + (writeIntervalMs() * intervals);
	}
}
