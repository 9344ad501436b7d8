/** Holds what passes in one direction until it is due, in order. */

const FROZEN_POLL_MS = 20;
/** Shorter waits than a timer can keep. */
const SHORTEST_WAIT_MS = 0.5;

/** Options of {@link OrderedDelivery}. */
export interface OrderedDeliveryOptions {
	readonly isFrozen: () => boolean;
	/** Whether what is due is dropped in place of delivered. */
	readonly isSilent: () => boolean;
}

interface Waiting {
	/** Monotonic time, in milliseconds. */
	readonly dueAtMs: number;
	readonly action: () => void;
}

/** One queue with one timer: a timer for each piece would let a later piece pass an earlier one, which TCP never does. */
export class OrderedDelivery {
	readonly #options: OrderedDeliveryOptions;
	readonly #waiting: Waiting[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(options: OrderedDeliveryOptions) {
		this.#options = options;
	}

	/** Runs an action once it is due and all before it have run. */
	add(waiting: Waiting): void {
		this.#waiting.push(waiting);
		if (!this.#timer) {
			this.#deliver();
		}
	}

	#deliver(): void {
		this.#timer = undefined;
		for (let next = this.#waiting[0]; next; next = this.#waiting[0]) {
			const waitMs = this.#options.isFrozen() ? FROZEN_POLL_MS : next.dueAtMs - performance.now();
			if (waitMs >= SHORTEST_WAIT_MS) {
				this.#timer = setTimeout(() => {
					this.#deliver();
				}, waitMs);
				return;
			}

			this.#waiting.shift();
			if (!this.#options.isSilent()) {
				next.action();
			}
		}
	}
}
