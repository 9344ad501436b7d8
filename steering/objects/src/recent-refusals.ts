/** Counts the requests that were refused recently, by service: their callers will compete for the next free capacity. */
import type {ServiceName} from '@pomelopick/core.types';

/** Length of the time in which refusals count, in milliseconds. */
const WINDOW_MS = 1000;

interface RefusalWindow {
	startedAtMs: number;
	count: number;
	/** Refusals in the window before. */
	previousCount: number;
}

/** Numbers of recent refusals. */
export class RecentRefusals {
	readonly #windows = new Map<ServiceName, RefusalWindow>();

	/** Records a refusal and returns how many requests of the service were refused in the current second or in the one before, whichever is higher. */
	record({service, nowMs}: {readonly service: ServiceName; readonly nowMs: number}): number {
		const window = this.#currentWindow({service, nowMs});
		window.count += 1;
		return Math.max(window.count, window.previousCount);
	}

	#currentWindow({service, nowMs}: {readonly service: ServiceName; readonly nowMs: number}): RefusalWindow {
		const known = this.#windows.get(service);
		if (known && nowMs - known.startedAtMs < WINDOW_MS) {
			return known;
		}

		const isAdjacent = known !== undefined && nowMs - known.startedAtMs < 2 * WINDOW_MS;
		const window = {startedAtMs: nowMs, count: 0, previousCount: isAdjacent ? known.count : 0};
		this.#windows.set(service, window);
		return window;
	}
}
