/**
 * Controls the share of a service's objects whose requests are sent to another region because the servers of this
 * region are busy.
 *
 * The share changes in small steps, so that few requests change their region at a time and the servers there, which do
 * not have the objects in memory yet, are not overloaded. The objects are selected by their hash: the same objects stay
 * in the other region while the share is constant, and all instances of a region select the same objects.
 */

/** Time between two steps, in milliseconds. */
const STEP_INTERVAL_MS = 250;
/** Increase and decrease of the share in one step. */
const INCREASE_PER_STEP = 0.01;
const DECREASE_PER_STEP = 0.004;
/** Wait above which a placement counts as delayed, as a share of the expected time of the request. */
const DELAYED_WAIT_SHARE = 0.3;
/** Shares of delayed placements above which the share is increased, and below which it is decreased. */
const INCREASE_ABOVE = 0.25;
const DECREASE_BELOW = 0.05;

/** Options of {@link RegionSpill.record}. */
export interface RecordPlacementOptions {
	/** Expected wait at the best server of the region, in milliseconds. */
	readonly waitMs: number;
	/** Expected time of the request without the wait, in milliseconds. */
	readonly expectedMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link RegionSpill}. */
export interface RegionSpillOptions {
	/** Share of the service's slots that are in the region, from 0 to 1. */
	readonly slotShare: number;
	/** Assumed share of the callers that are in the region, from 0 to 1. */
	readonly callerShare: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Controls the share of one service. */
export class RegionSpill {
	#share: number;
	#steppedAtMs: number;
	#placements = 0;
	#delayed = 0;

	constructor({slotShare, callerShare, nowMs}: RegionSpillOptions) {
		// At the start all servers load objects at once, so that a region with few servers has no spare capacity for its callers.
		this.#share = callerShare > slotShare ? 1 - (slotShare / callerShare) : 0;
		this.#steppedAtMs = nowMs;
	}

	/** Share of the objects that is sent to another region, from 0 to 1. */
	get share(): number {
		return this.#share;
	}

	/** Records the expected wait in the region for one request. */
	record({waitMs, expectedMs, nowMs}: RecordPlacementOptions): void {
		this.#placements += 1;
		this.#delayed += Number(waitMs > expectedMs * DELAYED_WAIT_SHARE);
		if (nowMs - this.#steppedAtMs < STEP_INTERVAL_MS) {
			return;
		}

		const delayedShare = this.#delayed / this.#placements;
		if (delayedShare > INCREASE_ABOVE) {
			this.#share = Math.min(1, this.#share + INCREASE_PER_STEP);
		} else if (delayedShare < DECREASE_BELOW) {
			this.#share = Math.max(0, this.#share - DECREASE_PER_STEP);
		}

		this.#steppedAtMs = nowMs;
		this.#placements = 0;
		this.#delayed = 0;
	}
}
