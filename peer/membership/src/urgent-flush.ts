/** Sends news ahead of the next heartbeat, at a bounded rate. */

/** Delay that gathers news before it is sent, in milliseconds. */
const URGENT_DELAY_MS = 20;
/** Least time between two sendings, in milliseconds, so that a flood of news costs a bounded rate of messages. */
const URGENT_INTERVAL_MS = 200;

/** Options of {@link UrgentFlush}. */
export interface UrgentFlushOptions {
	readonly flush: () => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Schedules sendings ahead of heartbeats. */
export class UrgentFlush {
	readonly #options: UrgentFlushOptions;
	#timer: NodeJS.Timeout | undefined;
	#nextMs = 0;

	constructor(options: UrgentFlushOptions) {
		this.#options = options;
	}

	/** Sends soon; calls until then share one sending. */
	schedule(): void {
		const {flush, now} = this.#options;
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#nextMs = now() + URGENT_INTERVAL_MS;
			flush();
		}, Math.max(URGENT_DELAY_MS, this.#nextMs - now()));
	}

	/** Sends no more. */
	stop(): void {
		clearTimeout(this.#timer);
	}
}
