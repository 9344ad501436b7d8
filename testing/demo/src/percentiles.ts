/** Percentiles of times to a final answer. */
import {build} from 'hdr-histogram-js';

/** Longest time that the histogram keeps apart, in milliseconds. */
const LONGEST_CALL_MS = 60_000;

/** Median and 99th percentile, in milliseconds. */
export interface Percentiles {
	readonly p50Ms: number;
	readonly p99Ms: number;
}

/** Percentiles of times, in milliseconds. */
export function listPercentiles(timesMs: readonly number[]): Percentiles {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_CALL_MS, numberOfSignificantValueDigits: 3});
	for (const timeMs of timesMs) {
		histogram.recordValue(Math.min(timeMs, LONGEST_CALL_MS));
	}

	return {p50Ms: histogram.getValueAtPercentile(50), p99Ms: histogram.getValueAtPercentile(99)};
}
