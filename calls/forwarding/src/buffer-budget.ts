/** Limit on the bytes of request bodies that one instance buffers for all its calls together. */

/** Bytes that are reserved for one call. */
export interface BufferReservation {
	/** Reserves more bytes; false when that would exceed the limit of the instance. */
	tryReserve(bytes: number): boolean;
	/** Releases all bytes of the reservation. */
	release(): void;
}

/** A budget of bytes that calls reserve parts of. */
export class BufferBudget {
	readonly #maxBytes: number;
	#reservedBytes = 0;

	constructor({most}: {readonly most: number}) {
		this.#maxBytes = most;
	}

	/** Bytes that are reserved now. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** Opens an empty reservation for one call. */
	openReservation(): BufferReservation {
		let reserved = 0;
		return {
			tryReserve: bytes => {
				if (this.#reservedBytes + bytes > this.#maxBytes) {
					return false;
				}

				reserved += bytes;
				this.#reservedBytes += bytes;
				return true;
			},
			release: () => {
				this.#reservedBytes -= reserved;
				reserved = 0;
			},
		};
	}
}
