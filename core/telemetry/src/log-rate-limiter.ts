/** Limits the rate of log lines that could otherwise be written for every response of a server. */

/** Minimum time between two lines about one server, in milliseconds. */
const MIN_INTERVAL_MS = 1000;
/** Maximum number of servers whose last line is remembered; beyond it, all are forgotten. */
const MAX_KEYS = 1024;

/** Decides which lines are written. */
export class LogRateLimiter {
	readonly #lastLineAtMs = new Map<string, number>();

	/** Returns whether a line may be written now. If so, it is counted as written. */
	tryAcquire({key, nowMs}: {readonly key: string; readonly nowMs: number}): boolean {
		const lastAtMs = this.#lastLineAtMs.get(key);
		if (lastAtMs !== undefined && nowMs - lastAtMs < MIN_INTERVAL_MS) {
			return false;
		}

		if (this.#lastLineAtMs.size >= MAX_KEYS) {
			this.#lastLineAtMs.clear();
		}

		this.#lastLineAtMs.set(key, nowMs);
		return true;
	}
}
