/** Measures how long the event loop of this process stands still, as a metric and, for long stalls, as log lines. */
import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import type {IntervalHistogram} from 'node:perf_hooks';
import type {CallCounters} from './counters.js';
import type {DecisionLog} from './decision-log.js';

/** Interval of the samples, in milliseconds: coarse, as each sample costs processor time. */
const RESOLUTION_MS = 50;
/** Interval at which the longest delay is reported, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;
/** Minimum delay that is logged, in milliseconds. */
const MIN_LOGGED_DELAY_MS = 200;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
	readonly counters: CallCounters;
	readonly log: DecisionLog;
}

/** Reports the longest delay of the event loop once a second. A process that was stopped or got no processor shows as one long delay. */
export class EventLoopMonitor {
	readonly #options: EventLoopMonitorOptions;
	readonly #histogram: IntervalHistogram = monitorEventLoopDelay({resolution: RESOLUTION_MS});
	#timer: NodeJS.Timeout | undefined;
	/** Monotonic time at which the next report is due, in milliseconds. */
	#reportDueMs = 0;

	constructor(options: EventLoopMonitorOptions) {
		this.#options = options;
	}

	/** Starts measuring. Does not keep the process running. */
	start(): void {
		this.#histogram.enable();
		this.#reportDueMs = performance.now() + REPORT_INTERVAL_MS;
		this.#timer = setInterval(() => {
			this.#report();
		}, REPORT_INTERVAL_MS).unref();
	}

	/** Stops measuring. */
	stop(): void {
		clearInterval(this.#timer);
		this.#histogram.disable();
	}

	#report(): void {
		const delayMs = this.#findLongestDelay();
		this.#options.counters.timing('event-loop-delay', delayMs);
		if (delayMs > MIN_LOGGED_DELAY_MS) {
			this.#options.log.line('event-loop-stalled', {delayMs: Math.round(delayMs)});
		}
	}

	/** Longest delay since the last report. A stall that is still going on when the report is due delays the report itself, which then comes before the next sample. */
	#findLongestDelay(): number {
		const nowMs = performance.now();
		const latenessMs = nowMs - this.#reportDueMs;
		this.#reportDueMs = nowMs + REPORT_INTERVAL_MS;
		const {max, count} = this.#histogram;
		this.#histogram.reset();
		const sampledMs = count === 0 ? 0 : (max / NANOSECONDS_PER_MILLISECOND) - RESOLUTION_MS;
		return Math.max(0, sampledMs, latenessMs);
	}
}
