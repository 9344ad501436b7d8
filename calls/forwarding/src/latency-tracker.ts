/** Recent latency of a service, for the time after which a hedge is sent. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** Percentile after which a read is hedged; see Dean and Barroso, "The Tail at Scale" (CACM, 2013). */
const HEDGE_PERCENTILE = 95;
const LEAST_SAMPLES = 50;
const REFRESH_MS = 1000;
const WINDOW_MS = 30_000;
const LONGEST_MS = 600_000;

/** Hedge delay of a service whose latency is not known, in milliseconds. */
export const DEFAULT_HEDGE_DELAY_MS = 500;
/** Shortest hedge delay, in milliseconds; keeps jitter of fast services from being hedged. */
export const LEAST_HEDGE_DELAY_MS = 50;

/** Histogram over a window of recent answers. */
export class LatencyTracker {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
	});

	#windowAtMs: number;
	#refreshAtMs: number;
	#hedgeDelayMs = DEFAULT_HEDGE_DELAY_MS;
	#isKnown = false;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#windowAtMs = nowMs;
		this.#refreshAtMs = nowMs;
	}

	/** Whether enough answers came to tell a slow one. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	/** Time after which a read without an answer is sent a second time, in milliseconds. */
	get hedgeDelayMs(): number {
		return this.#hedgeDelayMs;
	}

	/** Records the time that an answer took. */
	record({latencyMs, nowMs}: {readonly latencyMs: number; readonly nowMs: number}): void {
		this.#histogram.recordValue(Math.min(LONGEST_MS, Math.max(1, Math.round(latencyMs))));
		if (nowMs - this.#refreshAtMs >= REFRESH_MS) {
			this.#refresh(nowMs);
		}
	}

	#refresh(nowMs: number): void {
		this.#refreshAtMs = nowMs;
		if (this.#histogram.totalCount < LEAST_SAMPLES) {
			return;
		}

		this.#isKnown = true;
		this.#hedgeDelayMs = Math.max(LEAST_HEDGE_DELAY_MS, this.#histogram.getValueAtPercentile(HEDGE_PERCENTILE));
		if (nowMs - this.#windowAtMs >= WINDOW_MS) {
			this.#windowAtMs = nowMs;
			this.#histogram.reset();
		}
	}
}
