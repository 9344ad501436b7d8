/** Headroom of one service in one region, counted on capacity that is proven. */

/** Part of the proven slots that calls of other regions may fill. */
const SPILL_SHARE = 0.9;

/** What a region has and uses. */
export interface RegionLoad {
	/** Calls that the servers have proven they can run at once. */
	readonly provenSlots: number;
	readonly inUse: number;
	/** Calls of the region itself that wait. */
	readonly waiting: number;
}

/** Slots that calls of other regions may take now. Retries and hedges hold slots and so count as load. */
export function spillSlots({provenSlots, inUse, waiting}: RegionLoad): number {
	// An idle region may always prove itself with one call.
	const open = provenSlots === 0 ? 0 : Math.max(1, Math.floor(provenSlots * SPILL_SHARE));
	return Math.max(0, open - inUse - waiting);
}

/** Options of {@link expectedWaitMs}. */
export interface ExpectedWaitOptions extends RegionLoad {
	/** Mean time for which a slot is held, in milliseconds. */
	readonly holdMs: number;
}

/** Wait that a call arriving now would meet, in milliseconds: the queue before it served at the measured rate. */
export function expectedWaitMs({provenSlots, inUse, waiting, holdMs}: ExpectedWaitOptions): number {
	if (inUse < provenSlots && waiting === 0) {
		return 0;
	}

	return (waiting + 1) * holdMs / Math.max(1, provenSlots);
}
