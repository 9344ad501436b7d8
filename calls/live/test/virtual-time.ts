/** Time that passes only when nothing else is left to do. */

interface Timer {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
}

/** A clock whose timers are run one after the other. */
export class VirtualTime {
	#nowMs = 0;
	#order = 0;
	#timers: Timer[] = [];

	/** Time, in milliseconds. */
	readonly now = (): number => this.#nowMs;

	/** Resolves after a time, in milliseconds. */
	readonly sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		this.at(this.#nowMs + milliseconds, resolve);
	});

	/** Runs something at a time, in milliseconds. */
	at(atMs: number, run: () => void): void {
		this.#order += 1;
		this.#timers.push({atMs, order: this.#order, run});
	}

	/** Lets time pass up to an end, in milliseconds. */
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

/** Lets everything run that waits for no timer. */
async function settle(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
