/** Sends updates before the next heartbeat, at a bounded rate. */

/** Delay that batches updates before they are sent, in milliseconds. */
const URGENT_DELAY_MS = 20;
/** Minimum time between two urgent flushes, in milliseconds; bounds the rate of messages when there are many updates. */
const URGENT_INTERVAL_MS = 200;

/** Options of {@link UrgentFlush}. */
export interface UrgentFlushOptions {
	readonly flush: () => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Schedules flushes before the next heartbeat. */
export class UrgentFlush {
	readonly #options: UrgentFlushOptions;
	#timer: NodeJS.Timeout | undefined;
	#nextMs = 0;

	constructor(options: UrgentFlushOptions) {
		this.#options = options;
	}

	/** Schedules a flush; calls before it happens share it. */
	schedule(): void {
		const {flush, now} = this.#options;
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#nextMs = now() + URGENT_INTERVAL_MS;
			flush();
		}, Math.max(URGENT_DELAY_MS, this.#nextMs - now()));
	}

	/** Cancels a scheduled flush. */
	stop(): void {
		clearTimeout(this.#timer);
	}
}
