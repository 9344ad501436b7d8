/** Repeats a heartbeat that got no response, sooner than the next regular one. */
import type {InstanceId} from '@pomelopick/core.types';

/** Delay before a failed heartbeat is repeated, in milliseconds. */
const DOUBT_PAUSE_MS = 250;

/** Retry timers by instance. */
export class DoubtTimers {
	readonly #ask: (id: InstanceId) => void;
	readonly #timers = new Map<InstanceId, NodeJS.Timeout>();

	constructor({ask}: {readonly ask: (id: InstanceId) => void}) {
		this.#ask = ask;
	}

	/** Schedules a heartbeat to an instance, unless one is already scheduled. */
	schedule(id: InstanceId): void {
		if (this.#timers.has(id)) {
			return;
		}

		this.#timers.set(id, setTimeout(() => {
			this.#timers.delete(id);
			this.#ask(id);
		}, DOUBT_PAUSE_MS));
	}

	/** Cancels all scheduled heartbeats. */
	stop(): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}
}
