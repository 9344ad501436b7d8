/** Measures how long the event loop of this process is blocked, as a metric and, for long stalls, as log lines. */
import {performance} from 'node:perf_hooks';
import type {CallCounters} from './counters.js';
import type {DecisionLog} from './decision-log.js';

/** Interval of the samples, in milliseconds: coarse, as each sample costs processor time. */
const SAMPLE_INTERVAL_MS = 50;
/** Number of samples for which the longest delay is reported: one second. */
const SAMPLES_PER_REPORT = 20;
/** Minimum delay that is logged, in milliseconds. */
const MIN_LOGGED_DELAY_MS = 200;

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Called at each report with the mean delay of its samples, in milliseconds. */
	readonly onReport?: (meanDelayMs: number) => void;
}

/** Reports the longest delay of the event loop once a second. A process that was stopped or got no processor shows as one long delay. */
export class EventLoopMonitor {
	readonly #options: EventLoopMonitorOptions;
	#timer: NodeJS.Timeout | undefined;
	/** Monotonic time at which the next sample is due, in milliseconds. */
	#dueMs = 0;
	#longestMs = 0;
	#totalMs = 0;
	#samples = 0;

	constructor(options: EventLoopMonitorOptions) {
		this.#options = options;
	}

	/** Starts measuring. Does not keep the process running. */
	start(): void {
		this.#dueMs = performance.now() + SAMPLE_INTERVAL_MS;
		this.#timer = setInterval(() => {
			this.#sample();
		}, SAMPLE_INTERVAL_MS).unref();
	}

	/** Stops measuring. */
	stop(): void {
		clearInterval(this.#timer);
	}

	#sample(): void {
		const nowMs = performance.now();
		const delayMs = Math.max(0, nowMs - this.#dueMs);
		this.#longestMs = Math.max(this.#longestMs, delayMs);
		this.#totalMs += delayMs;
		this.#dueMs = nowMs + SAMPLE_INTERVAL_MS;
		this.#samples += 1;
		if (this.#samples === SAMPLES_PER_REPORT) {
			this.#report(this.#longestMs);
			this.#options.onReport?.(this.#totalMs / this.#samples);
			this.#totalMs = 0;
			this.#samples = 0;
			this.#longestMs = 0;
		}
	}

	#report(delayMs: number): void {
		this.#options.counters.timing('event-loop-delay', delayMs);
		if (delayMs > MIN_LOGGED_DELAY_MS) {
			this.#options.log.line('event-loop-stalled', {delayMs: Math.round(delayMs)});
		}
	}
}
