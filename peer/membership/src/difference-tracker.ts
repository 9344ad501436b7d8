/** Decides when two instances whose membership state differs exchange their complete state. */
import type {InstanceId} from '@pomelopick/core.types';

/** Consecutive differing digests after which the complete state is exchanged. */
const MOST_DIFFERENCES = 3;
/** Minimum time between two complete exchanges, in milliseconds for each instance of the fleet. */
const EVERYTHING_INTERVAL_PER_INSTANCE_MS = 50;
/** Minimum time between two complete exchanges in a small fleet, in milliseconds. */
const LEAST_EVERYTHING_INTERVAL_MS = 1000;

/** Options of {@link DifferenceTracker.shouldExchangeEverything}. */
export interface ShouldExchangeEverythingOptions {
	readonly id: InstanceId;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number of instances in the fleet. */
	readonly size: number;
}

/** Counts consecutive differing digests for each neighbour. */
export class DifferenceTracker {
	readonly #differences = new Map<InstanceId, number>();
	#nextEverythingMs = 0;

	/** Records whether the digest of a response was equal. If the first one of a neighbour differs, a complete exchange is due at once. */
	note({id, isEqual}: {readonly id: InstanceId; readonly isEqual: boolean}): void {
		this.#differences.set(id, isEqual ? 0 : (this.#differences.get(id) ?? MOST_DIFFERENCES - 1) + 1);
	}

	/** Returns whether the complete state is to be exchanged now, which repairs lost updates: digests keep differing, and the rate limit allows it. */
	shouldExchangeEverything({id, nowMs, size}: ShouldExchangeEverythingOptions): boolean {
		if ((this.#differences.get(id) ?? 0) < MOST_DIFFERENCES || nowMs < this.#nextEverythingMs) {
			return false;
		}

		this.#differences.set(id, 0);
		this.#nextEverythingMs = nowMs + Math.max(LEAST_EVERYTHING_INTERVAL_MS, size * EVERYTHING_INTERVAL_PER_INSTANCE_MS);
		return true;
	}
}
