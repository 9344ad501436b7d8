/** Counts the requests that were answered and refused recently, by service. */
import type {ServiceName} from '@pomelopick/core.types';

/** Length of a window, in milliseconds. */
const WINDOW_MS = 1000;

/** Outcomes of the requests of one service in a second. */
export interface OutcomeCounts {
	readonly answered: number;
	readonly refused: number;
}

interface OutcomeWindow {
	readonly startedAtMs: number;
	readonly previous: OutcomeCounts;
	current: OutcomeCounts;
}

/** Options of {@link RecentOutcomes.record}. */
export interface RecordOutcomeOptions {
	readonly service: ServiceName;
	readonly outcome: keyof OutcomeCounts;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Counts in the current second and in the one before. */
export class RecentOutcomes {
	readonly #windows = new Map<ServiceName, OutcomeWindow>();

	/** Records an outcome; returns the counts of the current second or of the one before, whichever has more requests. */
	record({service, outcome, nowMs}: RecordOutcomeOptions): OutcomeCounts {
		const window = this.#currentWindow({service, nowMs});
		window.current = {...window.current, [outcome]: window.current[outcome] + 1};
		return total(window.current) >= total(window.previous) ? window.current : window.previous;
	}

	#currentWindow({service, nowMs}: Pick<RecordOutcomeOptions, 'service' | 'nowMs'>): OutcomeWindow {
		const known = this.#windows.get(service);
		if (known && nowMs - known.startedAtMs < WINDOW_MS) {
			return known;
		}

		const isAdjacent = known !== undefined && nowMs - known.startedAtMs < 2 * WINDOW_MS;
		const window: OutcomeWindow = {startedAtMs: nowMs, previous: isAdjacent ? known.current : none, current: none};
		this.#windows.set(service, window);
		return window;
	}
}

const none: OutcomeCounts = {answered: 0, refused: 0};

function total({answered, refused}: OutcomeCounts): number {
	return answered + refused;
}
