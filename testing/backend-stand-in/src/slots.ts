/** Slots of a backend server with a bounded queue. */

interface Waiter {
	readonly grant: () => void;
}

/** Options of {@link Slots.acquire}. */
export interface AcquireOptions {
	/** Waiters allowed. */
	readonly queueCalls: number;
	readonly signal: AbortSignal;
}

/** Grants a fixed number of slots, first come, first served. */
export class Slots {
	readonly #count: number;
	readonly #queue: Waiter[] = [];
	#inUse = 0;
	#worst = 0;

	constructor({count}: {readonly count: number}) {
		this.#count = count;
	}

	/** Slots in use. */
	get inUse(): number {
		return this.#inUse;
	}

	/** Calls that wait. */
	get waiting(): number {
		return this.#queue.length;
	}

	/** Most calls, running and waiting, that were ever here at once. */
	get worst(): number {
		return this.#worst;
	}

	/** Resolves true with a slot, false when the queue is full or the caller left. */
	async acquire({queueCalls, signal}: AcquireOptions): Promise<boolean> {
		this.#worst = Math.max(this.#worst, this.#inUse + this.#queue.length + 1);
		if (this.#inUse < this.#count) {
			this.#inUse += 1;
			return true;
		}

		if (this.#queue.length >= queueCalls) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const leave = (): void => {
				this.#queue.splice(this.#queue.indexOf(waiter), 1);
				resolve(false);
			};

			const waiter: Waiter = {
				grant() {
					signal.removeEventListener('abort', leave);
					resolve(true);
				},
			};
			this.#queue.push(waiter);
			signal.addEventListener('abort', leave, {once: true});
		});
	}

	/** Gives a slot back, to the first waiter where there is one. */
	release(): void {
		const next = this.#queue.shift();
		if (next) {
			next.grant();
		} else {
			this.#inUse -= 1;
		}
	}
}
