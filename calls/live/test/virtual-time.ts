/** A simulated clock that advances only when no other work is pending. */

interface Timer {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
}

/** A simulated clock that runs its timers one after the other. */
export class VirtualTime {
	#nowMs = 0;
	#order = 0;
	#timers: Timer[] = [];

	/** Returns the current time, in milliseconds. */
	readonly now = (): number => this.#nowMs;

	/** Resolves after a delay, in milliseconds. */
	readonly sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		this.at(this.#nowMs + milliseconds, resolve);
	});

	/** Schedules a function to run at a time, in milliseconds. */
	at(atMs: number, run: () => void): void {
		this.#order += 1;
		this.#timers.push({atMs, order: this.#order, run});
	}

	/** Advances the clock to an end time, in milliseconds, and runs the timers that are due. */
	async runUntil(endMs: number): Promise<void> {
		for (;;) {
			await settle();
			const next = this.#takeNext(endMs);
			if (!next) {
				this.#nowMs = endMs;
				return;
			}

			this.#nowMs = Math.max(this.#nowMs, next.atMs);
			next.run();
		}
	}

	#takeNext(endMs: number): Timer | undefined {
		let next: Timer | undefined;
		for (const timer of this.#timers) {
			if (timer.atMs <= endMs && (!next || timer.atMs < next.atMs || (timer.atMs === next.atMs && timer.order < next.order))) {
				next = timer;
			}
		}

		this.#timers = this.#timers.filter(timer => timer !== next);
		return next;
	}
}

/** Waits until all work that does not depend on a timer has run. */
async function settle(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
