/** Decides when the next round of a shard, which writes to the store, may start. */

/** Minimum number of write intervals between the last write and a round without intents, so that an intent that arrives meanwhile is written together with the outcomes. */
const OUTCOME_DELAY_INTERVALS = 3;
/** Time after an outage for which no request is sent to the store, in milliseconds. */
const OUTAGE_PAUSE_MS = 200;
/** Time for which this instance writes less often after another owner of the shard wrote first, in milliseconds. */
const OVERTAKEN_PERIOD_MS = 1000;
/** Write intervals between two rounds during {@link OVERTAKEN_PERIOD_MS}. */
const OVERTAKEN_DELAY_INTERVALS = 8;

/** Options of {@link WritePacer}. */
export interface WritePacerOptions {
	/** Minimum time between two writes, in milliseconds. */
	readonly writeIntervalMs: () => number;
	/** Whether this instance comes first in the shard's order of owners, according to the instances that it knows. */
	readonly isFirstOwner: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Limits the rate of writes of one shard. */
export class WritePacer {
	readonly #options: WritePacerOptions;
	#lastWriteMs = Number.NEGATIVE_INFINITY;
	#failingUntilMs = Number.NEGATIVE_INFINITY;
	#overtakenUntilMs = Number.NEGATIVE_INFINITY;

	constructor(options: WritePacerOptions) {
		this.#options = options;
	}

	/** Whether the store failed so recently that no request may be sent to it yet. */
	get isFailing(): boolean {
		return this.#options.now() < this.#failingUntilMs;
	}

	/** Records that a write is sent now. */
	recordWrite(): void {
		this.#lastWriteMs = this.#options.now();
	}

	/** Records that the store does not respond. */
	recordOutage(): void {
		this.#failingUntilMs = this.#options.now() + OUTAGE_PAUSE_MS;
	}

	/** Records that another owner wrote first. Unless this instance comes first in the order of owners, it writes less often for a while, so that two owners do not keep colliding. */
	recordOvertaken(): void {
		this.#overtakenUntilMs = this.#options.now() + OVERTAKEN_PERIOD_MS;
	}

	/** Monotonic time at which a round may start, in milliseconds. */
	nextStartAtMs({hasIntents}: {readonly hasIntents: boolean}): number {
		const {writeIntervalMs, isFirstOwner, now} = this.#options;
		const isSlowedDown = now() < this.#overtakenUntilMs && !isFirstOwner();
		const intervals = Math.max(hasIntents ? 1 : OUTCOME_DELAY_INTERVALS, isSlowedDown ? OVERTAKEN_DELAY_INTERVALS : 1);
		return this.#lastWriteMs + (writeIntervalMs() * intervals);
	}
}
