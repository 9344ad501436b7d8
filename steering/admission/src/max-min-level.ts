/** Max-min fairness: the level up to which each demand is met when the demands exceed the capacity. */

/** Options of {@link maxMinLevel}. */
export interface MaxMinLevelOptions {
	/** Demands, in the unit of the capacity. */
	readonly demands: readonly number[];
	readonly capacity: number;
}

/** Returns the level at which the demands, each cut to it, add up to the capacity; infinite if all demands fit. */
export function maxMinLevel({demands, capacity}: MaxMinLevelOptions): number {
	let left = capacity;
	for (const [index, demand] of demands.toSorted((a, b) => a - b).entries()) {
		const share = left / (demands.length - index);
		if (demand > share) {
			return share;
		}

		left -= demand;
	}

	return Number.POSITIVE_INFINITY;
}
