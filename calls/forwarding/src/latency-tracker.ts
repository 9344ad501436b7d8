/** Recent latency of a service, from which the hedge delay is derived. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** Percentile after which a read is hedged; see Dean and Barroso, "The Tail at Scale" (CACM, 2013). */
const HEDGE_PERCENTILE = 95;
const MIN_SAMPLES = 50;
const REFRESH_MS = 1000;
const WINDOW_MS = 30_000;
const MAX_LATENCY_MS = 600_000;

/** Hedge delay of a service with too few latency samples, in milliseconds. */
export const DEFAULT_HEDGE_DELAY_MS = 500;
/** Minimum hedge delay, in milliseconds; prevents hedges on the jitter of fast services. */
export const MIN_HEDGE_DELAY_MS = 50;

/** Latency histogram over a window of recent responses. */
export class LatencyTracker {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
	});

	#windowStartedAtMs: number;
	#refreshedAtMs: number;
	#hedgeDelayMs = DEFAULT_HEDGE_DELAY_MS;
	#hasEnoughSamples = false;

	constructor({nowMs}: {readonly nowMs: number}) {
		this.#windowStartedAtMs = nowMs;
		this.#refreshedAtMs = nowMs;
	}

	/** Whether there were enough responses to recognise a slow one. */
	get hasEnoughSamples(): boolean {
		return this.#hasEnoughSamples;
	}

	/** Time after which a read without a response is sent a second time, in milliseconds. */
	get hedgeDelayMs(): number {
		return this.#hedgeDelayMs;
	}

	/** Records the latency of a response. */
	record({latencyMs, nowMs}: {readonly latencyMs: number; readonly nowMs: number}): void {
		this.#histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
		if (nowMs - this.#refreshedAtMs >= REFRESH_MS) {
			this.#refresh(nowMs);
		}
	}

	#refresh(nowMs: number): void {
		this.#refreshedAtMs = nowMs;
		if (this.#histogram.totalCount < MIN_SAMPLES) {
			return;
		}

		this.#hasEnoughSamples = true;
		this.#hedgeDelayMs = Math.max(MIN_HEDGE_DELAY_MS, this.#histogram.getValueAtPercentile(HEDGE_PERCENTILE));
		if (nowMs - this.#windowStartedAtMs >= WINDOW_MS) {
			this.#windowStartedAtMs = nowMs;
			this.#histogram.reset();
		}
	}
}
