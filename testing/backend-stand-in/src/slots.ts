/** Slots of a backend server with a bounded queue. */

/** A call that waits for a slot. */
interface Waiter {
	readonly grant: () => void;
}

/** Options of {@link Slots.acquire}. */
export interface AcquireOptions {
	/** Maximum number of waiting calls. */
	readonly queueCalls: number;
	readonly signal: AbortSignal;
}

/** Grants a fixed number of slots in the order of the calls. */
export class Slots {
	readonly #count: number;
	readonly #queue: Waiter[] = [];
	#inUse = 0;
	#peakInFlight = 0;

	constructor({count}: {readonly count: number}) {
		this.#count = count;
	}

	/** Number of slots in use. */
	get inUse(): number {
		return this.#inUse;
	}

	/** Number of calls that wait for a slot. */
	get waiting(): number {
		return this.#queue.length;
	}

	/** Maximum number of calls that were in progress, waiting or arriving at the same time. */
	get peakInFlight(): number {
		return this.#peakInFlight;
	}

	/** Resolves with true when a slot is granted, with false if the queue is full or the caller disconnects. */
	async acquire({queueCalls, signal}: AcquireOptions): Promise<boolean> {
		this.#peakInFlight = Math.max(this.#peakInFlight, this.#inUse + this.#queue.length + 1);
		if (this.#inUse < this.#count) {
			this.#inUse += 1;
			return true;
		}

		if (this.#queue.length >= queueCalls) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const cancel = (): void => {
				this.#queue.splice(this.#queue.indexOf(waiter), 1);
				resolve(false);
			};

			const waiter: Waiter = {
				grant() {
					signal.removeEventListener('abort', cancel);
					resolve(true);
				},
			};
			this.#queue.push(waiter);
			signal.addEventListener('abort', cancel, {once: true});
		});
	}

	/** Releases a slot, or passes it to the first waiting call if there is one. */
	release(): void {
		const next = this.#queue.shift();
		if (next) {
			next.grant();
		} else {
			this.#inUse -= 1;
		}
	}
}
