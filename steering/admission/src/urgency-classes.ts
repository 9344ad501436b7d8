/** Orders the priorities that are in use at a service. */

/** Time without a request after which a priority no longer counts, in milliseconds. */
const MEMORY_MS = 10_000;

/** Position of a priority among those in use. */
export interface UrgencyRank {
	/** Position, 0 for the most urgent. */
	readonly index: number;
	/** Number of priorities in use. */
	readonly count: number;
}

/** Keeps the priorities that requests had recently. */
export class UrgencyClasses {
	readonly #lastSeenAtMs = new Map<number, number>();

	/** Records a request with a priority, and returns the position of the priority. */
	record({priority, nowMs}: {readonly priority: number; readonly nowMs: number}): UrgencyRank {
		this.#lastSeenAtMs.set(priority, nowMs);
		let index = 0;
		for (const [other, seenAtMs] of this.#lastSeenAtMs) {
			if (nowMs - seenAtMs > MEMORY_MS) {
				this.#lastSeenAtMs.delete(other);
			} else if (other < priority) {
				index += 1;
			}
		}

		return {index, count: this.#lastSeenAtMs.size};
	}
}
