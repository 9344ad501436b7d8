/** Repeats a heartbeat that got no response, sooner than the next regular one. */
import type {InstanceId} from '@pomelopick/core.types';

/** Delay before a failed heartbeat is repeated, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Retry timers by instance. */
export class HeartbeatRetries {
	readonly #send: (id: InstanceId) => void;
	readonly #timers = new Map<InstanceId, NodeJS.Timeout>();

	constructor({send}: {readonly send: (id: InstanceId) => void}) {
		this.#send = send;
	}

	/** Schedules a heartbeat to an instance, unless one is already scheduled. */
	schedule(id: InstanceId): void {
		if (this.#timers.has(id)) {
			return;
		}

		this.#timers.set(id, setTimeout(() => {
			this.#timers.delete(id);
			this.#send(id);
		}, RETRY_DELAY_MS));
	}

	/** Cancels all scheduled heartbeats. */
	stop(): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}
}
