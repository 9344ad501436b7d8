/** Permits of one organisation that an instance has and has not used yet. */

/** Time for which a permit may be used, in milliseconds, from just before it was asked for: the bound of a quota counts permits of 5.5 s for a window of 5 s. */
export const PERMIT_VALID_MS = 500;

interface Batch {
	left: number;
	readonly validUntilMs: number;
}

/** The permits, in the order in which they expire. */
export class PermitStock {
	#batches: Batch[] = [];

	/** Adds permits that were asked for at a monotonic time, in milliseconds. */
	add({permits, askedAtMs}: {readonly permits: number; readonly askedAtMs: number}): void {
		this.#insert({left: permits, validUntilMs: askedAtMs + PERMIT_VALID_MS});
	}

	/** Returns a permit that was not used. */
	giveBack(validUntilMs: number): void {
		this.#insert({left: 1, validUntilMs});
	}

	/** Takes the permit that expires first; returns the monotonic time at which it does, in milliseconds, or undefined when there is none. */
	tryTake(nowMs: number): number | undefined {
		let first = this.#batches[0];
		while (first && (first.left === 0 || nowMs >= first.validUntilMs)) {
			this.#batches.shift();
			first = this.#batches[0];
		}

		if (!first) {
			return undefined;
		}

		first.left -= 1;
		return first.validUntilMs;
	}

	/** Removes all permits. */
	clear(): void {
		this.#batches = [];
	}

	#insert(batch: Batch): void {
		const position = this.#batches.findIndex(({validUntilMs}) => validUntilMs > batch.validUntilMs);
		this.#batches.splice(position === -1 ? this.#batches.length : position, 0, batch);
	}
}
