/** Finds outliers: servers that are far slower than the other servers of their group. */
import type {BackendServerName} from '@pomelopick/core.types';

/** Multiple of the median time above which a server is an outlier. */
const OUTLIER_FACTOR = 3;
/** Maximum share of the servers that are treated as outliers; if more are slow, the measurements are more likely wrong than the servers. */
const MAX_OUTLIER_SHARE = 1 / 3;

/** Mean time of a call at a server. */
export interface ServerHoldTime {
	readonly name: BackendServerName;
	/** In milliseconds; undefined when there is no measurement. */
	readonly holdMs: number | undefined;
}

/** Whether any server can be an outlier, by the shortest and the longest of the known times: the median lies between them. */
export function mayHaveOutliers({minMs, maxMs}: {readonly minMs: number; readonly maxMs: number}): boolean {
	return maxMs > OUTLIER_FACTOR * minMs;
}

/** Names of the outliers, slowest first; when there are more than the maximum share, only the slowest. */
export function listOutliers(holds: readonly ServerHoldTime[]): ReadonlySet<BackendServerName> {
	const known = holds.flatMap(({name, holdMs}) => holdMs === undefined ? [] : [{name, holdMs}]).sort((left, right) => right.holdMs - left.holdMs);
	const median = known[Math.floor(known.length / 2)]?.holdMs;
	if (median === undefined) {
		return new Set();
	}

	const slow = known.filter(({holdMs}) => holdMs > OUTLIER_FACTOR * median);
	return new Set(slow.slice(0, Math.floor(holds.length * MAX_OUTLIER_SHARE)).map(({name}) => name));
}
