/** Finds servers that are far slower than their like. */
import type {BackendServerName} from '@pomelopick/core.types';

/** Multiple of the median from which a server counts as an outlier. */
const OUTLIER_FACTOR = 3;
/** Largest part of the servers that may be outliers; above it the measurements are doubted, not the servers. */
const MAX_OUTLIER_SHARE = 1 / 3;

/** Mean time of a call at a server. */
export interface ServerHoldTime {
	readonly name: BackendServerName;
	/** In milliseconds; undefined where nothing is known. */
	readonly holdMs: number | undefined;
}

/** Whether any server can be an outlier, by the least and the most of the known times: the median lies between them. */
export function mayHaveOutliers({leastMs, mostMs}: {readonly leastMs: number; readonly mostMs: number}): boolean {
	return mostMs > OUTLIER_FACTOR * leastMs;
}

/** Names of the outliers, slowest first where there are too many. */
export function listOutliers(holds: readonly ServerHoldTime[]): ReadonlySet<BackendServerName> {
	const known = holds.flatMap(({name, holdMs}) => holdMs === undefined ? [] : [{name, holdMs}]).sort((left, right) => right.holdMs - left.holdMs);
	const median = known[Math.floor(known.length / 2)]?.holdMs;
	if (median === undefined) {
		return new Set();
	}

	const slow = known.filter(({holdMs}) => holdMs > OUTLIER_FACTOR * median);
	return new Set(slow.slice(0, Math.floor(holds.length * MAX_OUTLIER_SHARE)).map(({name}) => name));
}
