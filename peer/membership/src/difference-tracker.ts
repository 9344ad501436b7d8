/** Decides when two instances that know different things tell each other everything. */
import type {InstanceId} from '@pomelopick/core.types';

/** Differing digests in a row before everything is exchanged. */
const MOST_DIFFERENCES = 3;
/** Least time between two exchanges of everything, in milliseconds an instance of the fleet. */
const EVERYTHING_INTERVAL_PER_INSTANCE_MS = 50;
const LEAST_EVERYTHING_INTERVAL_MS = 1000;

/** Options of {@link DifferenceTracker.shouldExchangeEverything}. */
export interface ShouldExchangeEverythingOptions {
	readonly id: InstanceId;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Instances of the fleet. */
	readonly size: number;
}

/** Counts by neighbour how often the digests have differed in a row. */
export class DifferenceTracker {
	readonly #differences = new Map<InstanceId, number>();
	#nextEverythingMs = 0;

	/** Takes note of an answer; a first answer that differs counts as the last one before an exchange. */
	note({id, isEqual}: {readonly id: InstanceId; readonly isEqual: boolean}): void {
		this.#differences.set(id, isEqual ? 0 : (this.#differences.get(id) ?? MOST_DIFFERENCES - 1) + 1);
	}

	/** Repairs lost news: when digests keep differing, both sides tell everything, at a bounded rate. */
	shouldExchangeEverything({id, nowMs, size}: ShouldExchangeEverythingOptions): boolean {
		if ((this.#differences.get(id) ?? 0) < MOST_DIFFERENCES || nowMs < this.#nextEverythingMs) {
			return false;
		}

		this.#differences.set(id, 0);
		this.#nextEverythingMs = nowMs + Math.max(LEAST_EVERYTHING_INTERVAL_MS, size * EVERYTHING_INTERVAL_PER_INSTANCE_MS);
		return true;
	}
}
