/** Keeps lines of the log that may come with every answer of a server apart in time. */

/** Shortest time between two lines of one server, in milliseconds. */
const INTERVAL_MS = 1000;
/** Servers that are remembered. */
const MOST_KEYS = 1024;

/** Says which lines are written. */
export class SpacedLines {
	readonly #writtenAtMs = new Map<string, number>();

	/** Whether a line may be written now; if so it counts as written. */
	mayWrite({key, nowMs}: {readonly key: string; readonly nowMs: number}): boolean {
		const writtenAtMs = this.#writtenAtMs.get(key);
		if (writtenAtMs !== undefined && nowMs - writtenAtMs < INTERVAL_MS) {
			return false;
		}

		if (this.#writtenAtMs.size >= MOST_KEYS) {
			this.#writtenAtMs.clear();
		}

		this.#writtenAtMs.set(key, nowMs);
		return true;
	}
}
