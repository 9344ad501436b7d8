/**
 * Share of a service's objects whose requests leave this region because its servers are busy.
 *
 * The share moves by small steps, so that few requests change their region at a time and the servers elsewhere, which
 * do not know the objects yet, are not overrun. Which objects leave follows from their hash: the same ones stay away
 * while the share lasts, and all instances of a region choose alike.
 */
const STEP_INTERVAL_MS = 250;
/** Growth and shrinking of the share at a step. */
const GROWTH_PER_STEP = 0.01;
const DECREASE_PER_STEP = 0.004;
/** Wait against the time of a request from which a placement counts as pressed. */
const DELAYED_WAIT_SHARE = 0.3;
/** Shares of pressed placements above which the share grows, and below which it shrinks. */
const GROW_ABOVE = 0.25;
const DECREASE_BELOW = 0.05;

/** Options of {@link RegionSpill.record}. */
export interface RecordPlacementOptions {
	/** Expected wait at the best server of the region, in milliseconds. */
	readonly waitMs: number;
	/** Expected time of the request itself, in milliseconds. */
	readonly expectedMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link RegionSpill}. */
export interface RegionSpillOptions {
	/** Share of the service's slots that stand in the region, from 0 to 1. */
	readonly slotShare: number;
	/** Share of the callers that the region is taken to have, from 0 to 1. */
	readonly callerShare: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The share of one service. */
export class RegionSpill {
	#share: number;
	#steppedAtMs: number;
	#placements = 0;
	#delayed = 0;

	constructor({slotShare, callerShare, nowMs}: RegionSpillOptions) {
		// At the start all servers learn objects at once, and a region with few of them has no time to spare.
		this.#share = callerShare > slotShare ? 1 - (slotShare / callerShare) : 0;
		this.#steppedAtMs = nowMs;
	}

	/** Share of the objects that leave the region, from 0 to 1. */
	get share(): number {
		return this.#share;
	}

	/** Notes how busy the region was for one request. */
	record({waitMs, expectedMs, nowMs}: RecordPlacementOptions): void {
		this.#placements += 1;
		this.#delayed += Number(waitMs > expectedMs * DELAYED_WAIT_SHARE);
		if (nowMs - this.#steppedAtMs < STEP_INTERVAL_MS) {
			return;
		}

		const pressedShare = this.#delayed / this.#placements;
		if (pressedShare > GROW_ABOVE) {
			this.#share = Math.min(1, this.#share + GROWTH_PER_STEP);
		} else if (pressedShare < DECREASE_BELOW) {
			this.#share = Math.max(0, this.#share - DECREASE_PER_STEP);
		}

		this.#steppedAtMs = nowMs;
		this.#placements = 0;
		this.#delayed = 0;
	}
}
