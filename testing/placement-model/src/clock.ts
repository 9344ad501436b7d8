/** Simulated time: what is due runs in the order of its time. */

interface Due {
	readonly atMs: number;
	readonly run: () => void;
}

/** A clock that moves from one due action to the next. */
export class Clock {
	/** Actions by time, the latest first, so that the next one is taken from the end. */
	readonly #due: Due[] = [];
	#nowMs = 0;

	/** Simulated time, in milliseconds. */
	get nowMs(): number {
		return this.#nowMs;
	}

	/** Runs an action after a time, in milliseconds; actions of the same time run in the order of their calls. */
	after(delayMs: number, run: () => void): void {
		const atMs = this.#nowMs + delayMs;
		let low = 0;
		let high = this.#due.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#due[middle]!.atMs > atMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#due.splice(low, 0, {atMs, run});
	}

	/** Runs all that is due, and what that brings about. */
	runAll(): void {
		for (let next = this.#due.pop(); next; next = this.#due.pop()) {
			this.#nowMs = next.atMs;
			next.run();
		}
	}
}
