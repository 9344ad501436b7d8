/** Limit on the bytes that one instance holds for all its calls together: bodies of requests, and responses whose callers read slowly. */
import {maxReadAheadBytes} from '@pomelopick/steering.limits';

/** Bytes that must be free for a further call, in which the buffered part of its body or of its response fits. */
const CALL_BYTES = 65_536;
/** Share of the bytes up to which calls with large bodies or responses are accepted. */
const LARGE_SHARE = 0.75;
/** Time between two checks of whether held responses may be read on, in milliseconds: far below the seconds after which servers cut off responses. */
const CHECK_INTERVAL_MS = 50;

/** Bytes that a response holds, as part of the reservation of its call. */
export interface ResponseReservation {
	/** Counts bytes of a response that were received; they cannot be refused any more. */
	hold(bytes: number): void;
	/** Releases bytes of the response that were handed to the operating system or discarded. */
	releaseBytes(bytes: number): void;
	/** Whether the response may be read further although its caller has not taken what was read. */
	mayReadAhead(): boolean;
	/** Calls back once, after any call has released bytes. Does nothing after {@link BufferReservation.release}. */
	onceReleased(callback: () => void): void;
}

/** Bytes that are reserved for one call. */
export interface BufferReservation extends ResponseReservation {
	/** Reserves more bytes for the body of the request; false when that would exceed the limit of the instance. */
	tryReserve(bytes: number): boolean;
	/** Sets the minimum number of bytes that are counted for the response, also while it holds fewer. */
	expect(bytes: number): void;
	/** Releases all bytes of the reservation. */
	release(): void;
}

/** A budget of bytes that calls reserve parts of. */
export class BufferBudget {
	readonly #maxBytes: number;
	#bodyBytes = 0;
	#responseBytes = 0;
	/** Called when responses may hold more bytes than before. */
	readonly #waiting = new Set<() => void>();
	#timer: NodeJS.Timeout | undefined;

	constructor({most}: {readonly most: number}) {
		this.#maxBytes = most;
	}

	/** Bytes that are reserved now. */
	get reservedBytes(): number {
		return this.#bodyBytes + this.#responseBytes;
	}

	/** Bytes of responses that are held now. */
	get responseBytes(): number {
		return this.#responseBytes;
	}

	/** Maximum bytes. */
	get maxBytes(): number {
		return this.#maxBytes;
	}

	/** Whether enough bytes are free for a further call. Calls with large bodies or responses may not use all of them, as they hold theirs for longer than others. */
	hasRoom({isLarge}: {readonly isLarge: boolean}): boolean {
		return this.reservedBytes + CALL_BYTES <= this.#maxBytes * (isLarge ? LARGE_SHARE : 1);
	}

	/** Opens an empty reservation for one call. */
	openReservation(): BufferReservation {
		return new CallReservation(this);
	}

	/** Changes the bytes that are counted. */
	count({bodyBytes = 0, responseBytes = 0}: {readonly bodyBytes?: number; readonly responseBytes?: number}): void {
		this.#bodyBytes += bodyBytes;
		this.#responseBytes += responseBytes;
		if ((bodyBytes < 0 || responseBytes < 0) && this.#waiting.size > 0) {
			this.#scheduleCheck();
		}
	}

	/** Calls back once after bytes were released. */
	wait(callback: () => void): void {
		this.#waiting.add(callback);
	}

	/** Cancels {@link wait}. */
	stopWaiting(callback: () => void): void {
		this.#waiting.delete(callback);
	}

	#scheduleCheck(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			const callbacks = [...this.#waiting];
			this.#waiting.clear();
			for (const callback of callbacks) {
				callback();
			}
		}, CHECK_INTERVAL_MS).unref();
	}
}

class CallReservation implements BufferReservation {
	readonly #budget: BufferBudget;
	#bodyBytes = 0;
	#responseBytes = 0;
	/** Minimum number of bytes that are counted for the response. */
	#expectedBytes = 0;
	/** Bytes that are counted for the response: the larger of those expected and those held. */
	#countedBytes = 0;
	#isReleased = false;
	#waiting: (() => void) | undefined;

	constructor(budget: BufferBudget) {
		this.#budget = budget;
	}

	tryReserve(bytes: number): boolean {
		if (this.#isReleased || this.#budget.reservedBytes + bytes > this.#budget.maxBytes) {
			return false;
		}

		this.#bodyBytes += bytes;
		this.#budget.count({bodyBytes: bytes});
		return true;
	}

	hold(bytes: number): void {
		if (!this.#isReleased && bytes > 0) {
			this.#responseBytes += bytes;
			this.#recount();
		}
	}

	releaseBytes(bytes: number): void {
		this.#responseBytes -= Math.min(bytes, this.#responseBytes);
		this.#recount();
	}

	expect(bytes: number): void {
		if (!this.#isReleased) {
			this.#expectedBytes = bytes;
			this.#recount();
		}
	}

	mayReadAhead(): boolean {
		const {maxBytes, reservedBytes: heldBytes, responseBytes} = this.#budget;
		return this.#responseBytes < maxReadAheadBytes({maxBytes, heldBytes, responseBytes});
	}

	onceReleased(callback: () => void): void {
		if (!this.#isReleased) {
			this.#stopWaiting();
			this.#waiting = callback;
			this.#budget.wait(callback);
		}
	}

	release(): void {
		this.#isReleased = true;
		this.#stopWaiting();
		this.#expectedBytes = 0;
		this.releaseBytes(this.#responseBytes);
		if (this.#bodyBytes > 0) {
			this.#budget.count({bodyBytes: -this.#bodyBytes});
			this.#bodyBytes = 0;
		}
	}

	#recount(): void {
		const bytes = Math.max(this.#expectedBytes, this.#responseBytes);
		if (bytes !== this.#countedBytes) {
			this.#budget.count({responseBytes: bytes - this.#countedBytes});
			this.#countedBytes = bytes;
		}
	}

	#stopWaiting(): void {
		if (this.#waiting) {
			this.#budget.stopWaiting(this.#waiting);
		}
	}
}
