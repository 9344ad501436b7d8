/** Decides when two instances whose membership state differs exchange their complete state. */
import type {InstanceId} from '@pomelopick/core.types';

/** Consecutive differing digests after which the complete state is exchanged. */
const DIFFERENCES_BEFORE_EXCHANGE = 3;
/** Minimum time between two complete exchanges, in milliseconds for each instance of the fleet. */
const FULL_EXCHANGE_INTERVAL_PER_INSTANCE_MS = 50;
/** Minimum time between two complete exchanges in a small fleet, in milliseconds. */
const MIN_FULL_EXCHANGE_INTERVAL_MS = 1000;

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
	#nextFullExchangeMs = 0;

	/** Records whether the digest of a response was equal. If the first one of a neighbour differs, a complete exchange is due at once. */
	record({id, isEqual}: {readonly id: InstanceId; readonly isEqual: boolean}): void {
		this.#differences.set(id, isEqual ? 0 : (this.#differences.get(id) ?? DIFFERENCES_BEFORE_EXCHANGE - 1) + 1);
	}

	/** Returns whether the complete state is to be exchanged now, which repairs lost updates: digests keep differing, and the rate limit allows it. */
	shouldExchangeEverything({id, nowMs, size}: ShouldExchangeEverythingOptions): boolean {
		if ((this.#differences.get(id) ?? 0) < DIFFERENCES_BEFORE_EXCHANGE || nowMs < this.#nextFullExchangeMs) {
			return false;
		}

		this.#differences.set(id, 0);
		this.#nextFullExchangeMs = nowMs + Math.max(MIN_FULL_EXCHANGE_INTERVAL_MS, size * FULL_EXCHANGE_INTERVAL_PER_INSTANCE_MS);
		return true;
	}
}
