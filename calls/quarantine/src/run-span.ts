/** Periods in which runs of requests may have ended their servers. */

/** Period in which one run may have ended its server, in milliseconds of the wall clock of the instance that reports it. */
export interface RunSpan {
	/** Time at which the request was sent. */
	readonly fromMs: number;
	/** Time by which the server had ended, or by which the run could no longer end it. */
	readonly toMs: number;
}

/** Returns the shortest period that includes both; an unknown one is ignored. */
export function mergeSpans(one: RunSpan | undefined, other: RunSpan | undefined): RunSpan | undefined {
	return one && other
		? {fromMs: Math.min(one.fromMs, other.fromMs), toMs: Math.max(one.toMs, other.toMs)}
		: one ?? other;
}

/**
 * Returns how many ends of servers the runs of one request can explain one after another: the maximum number of spans
 * that do not overlap. Many servers that end at the same moment count once, since a common cause is more likely than
 * runs that all end their servers at that moment. An unknown span counts as one that overlaps with no other.
 */
export function countSeparate(spans: ReadonlyArray<RunSpan | undefined>): number {
	const known = spans.filter(span => span !== undefined).sort((one, other) => one.toMs - other.toMs);
	let count = spans.length - known.length;
	let lastToMs = Number.NEGATIVE_INFINITY;
	for (const {fromMs, toMs} of known) {
		if (fromMs >= lastToMs) {
			count += 1;
			lastToMs = toMs;
		}
	}

	return count;
}
