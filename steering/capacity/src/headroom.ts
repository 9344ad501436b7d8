/** Headroom of one service in one region, based on the concurrency limits that its servers have shown they can serve. */

/** Share of the proven slots that calls of other regions may use. */
const SPILL_SHARE = 0.9;

/** Capacity and load of a region. */
export interface RegionLoad {
	/** Concurrent calls that the servers have shown they can serve. */
	readonly provenSlots: number;
	readonly inUse: number;
	/** Waiting calls of the region itself. */
	readonly waiting: number;
}

/** Slots that calls of other regions may take now. Retries and hedges hold slots too and so count as load. */
export function spillSlots({provenSlots, inUse, waiting}: RegionLoad): number {
	// One call is always allowed, so that an idle region can show that it serves calls.
	const limit = provenSlots === 0 ? 0 : Math.max(1, Math.floor(provenSlots * SPILL_SHARE));
	return Math.max(0, limit - inUse - waiting);
}

/** Options of {@link expectedWaitMs}. */
export interface ExpectedWaitOptions extends RegionLoad {
	/** Mean time for which a slot is held, in milliseconds. */
	readonly holdMs: number;
}

/** Expected wait of a call that arrives now, in milliseconds: the time to serve the queue before it at the measured rate. */
export function expectedWaitMs({provenSlots, inUse, waiting, holdMs}: ExpectedWaitOptions): number {
	if (inUse < provenSlots && waiting === 0) {
		return 0;
	}

	return (waiting + 1) * holdMs / Math.max(1, provenSlots);
}
