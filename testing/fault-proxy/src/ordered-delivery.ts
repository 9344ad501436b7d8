/** Delays the data of one direction of a connection and delivers it in order. */

const FROZEN_POLL_MS = 20;
/** Minimum wait for which a timer is set. Timers are not precise enough for shorter waits. */
const MIN_WAIT_MS = 0.5;

/** Options of {@link OrderedDelivery}. */
export interface OrderedDeliveryOptions {
	/** Whether delivery is suspended. */
	readonly isFrozen: () => boolean;
	/** Whether actions that are due are dropped instead of run. */
	readonly isSilent: () => boolean;
}

interface QueuedAction {
	/** Monotonic time, in milliseconds. */
	readonly dueAtMs: number;
	readonly action: () => void;
}

/** Runs actions in order when they are due. There is one timer for the whole queue: with a timer for each chunk, a later chunk could overtake an earlier one, which TCP never allows. */
export class OrderedDelivery {
	readonly #options: OrderedDeliveryOptions;
	readonly #queue: QueuedAction[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(options: OrderedDeliveryOptions) {
		this.#options = options;
	}

	/** Runs an action once it is due and all earlier actions have run or been dropped. */
	add(queued: QueuedAction): void {
		this.#queue.push(queued);
		if (!this.#timer) {
			this.#deliver();
		}
	}

	#deliver(): void {
		this.#timer = undefined;
		for (let next = this.#queue[0]; next; next = this.#queue[0]) {
			const waitMs = this.#options.isFrozen() ? FROZEN_POLL_MS : next.dueAtMs - performance.now();
			if (waitMs >= MIN_WAIT_MS) {
				this.#timer = setTimeout(() => {
					this.#deliver();
				}, waitMs);
				return;
			}

			this.#queue.shift();
			if (!this.#options.isSilent()) {
				next.action();
			}
		}
	}
}
