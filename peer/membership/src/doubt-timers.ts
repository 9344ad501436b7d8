/** Asks an instance that did not answer again, sooner than the next heartbeat would. */
import type {InstanceId} from '@pomelopick/core.types';

/** Pause before a heartbeat that was not answered is sent again, in milliseconds. */
const DOUBT_PAUSE_MS = 250;

/** Timers by instance. */
export class DoubtTimers {
	readonly #ask: (id: InstanceId) => void;
	readonly #timers = new Map<InstanceId, NodeJS.Timeout>();

	constructor({ask}: {readonly ask: (id: InstanceId) => void}) {
		this.#ask = ask;
	}

	/** Asks an instance after the pause, unless that is under way already. */
	schedule(id: InstanceId): void {
		if (this.#timers.has(id)) {
			return;
		}

		this.#timers.set(id, setTimeout(() => {
			this.#timers.delete(id);
			this.#ask(id);
		}, DOUBT_PAUSE_MS));
	}

	/** Asks nobody any more. */
	stop(): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}
}
