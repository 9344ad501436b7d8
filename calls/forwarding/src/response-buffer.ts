/** The part of a response's body that is buffered before any of it is forwarded. */
import {Buffer} from 'node:buffer';
import type {ExchangeOptions} from './exchange-options.js';

/** Pieces of one response's body. */
export class ResponseBuffer {
	readonly #options: Pick<ExchangeOptions, 'maxBufferedBytes' | 'mayBufferFurther'>;
	#pieces: Uint8Array[] = [];
	#bytes = 0;
	#statedBytes = 0;

	constructor(options: Pick<ExchangeOptions, 'maxBufferedBytes' | 'mayBufferFurther'>) {
		this.#options = options;
	}

	/** Whether the response is too large to be buffered whole, by what it states or by what has arrived. */
	get isTooLarge(): boolean {
		const {maxBufferedBytes, mayBufferFurther} = this.#options;
		const bytes = Math.max(this.#statedBytes, this.#bytes);
		return bytes > maxBufferedBytes && mayBufferFurther?.(bytes) !== true;
	}

	/** Records the length that the response states, in bytes. */
	expect(bytes: number): void {
		this.#statedBytes = bytes;
	}

	/** Adds a piece. */
	add(piece: Uint8Array): void {
		this.#pieces.push(piece);
		this.#bytes += piece.length;
	}

	/** Returns the pieces and forgets them. */
	take(): readonly Uint8Array[] {
		const pieces = this.#pieces;
		this.#pieces = [];
		return pieces;
	}

	/** Returns the body as one piece. */
	toBytes(): Uint8Array {
		return this.#pieces.length === 1 ? this.#pieces[0]! : Buffer.concat(this.#pieces);
	}
}
