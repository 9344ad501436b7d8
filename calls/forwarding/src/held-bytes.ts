/** Bytes of request bodies that one instance holds for all its calls together. */

/** Part of the bytes that belongs to one call. */
export interface BufferReservation {
	/** Takes so many bytes more; false when the instance has none left. */
	tryTake(bytes: number): boolean;
	/** Gives all bytes of the part back. */
	release(): void;
}

/** A bounded number of bytes. */
export class BufferBudget {
	readonly #most: number;
	#taken = 0;

	constructor({most}: {readonly most: number}) {
		this.#most = most;
	}

	/** Bytes that are held now. */
	get taken(): number {
		return this.#taken;
	}

	/** Opens the part of one call. */
	open(): BufferReservation {
		let own = 0;
		return {
			tryTake: bytes => {
				if (this.#taken + bytes > this.#most) {
					return false;
				}

				own += bytes;
				this.#taken += bytes;
				return true;
			},
			release: () => {
				this.#taken -= own;
				own = 0;
			},
		};
	}
}
