/** A list of objects that is kept as the chunks it came in and decoded each time it is read. */
import type {ObjectList} from '@pomelopick/core.types';
import {decodeJson} from './stored-configuration.js';

/** One verified chunk of a list. */
export interface EncodedPart {
	/** JSON array of the objects. */
	readonly content: Uint8Array;
	readonly length: number;
}

/** Keeps a long list out of the heap: the chunks are held anyway for peers, and the objects are read only when the list changes. */
export class EncodedList<Shape> implements ObjectList<Shape> {
	readonly length: number;
	readonly #parts: readonly EncodedPart[];

	constructor(parts: readonly EncodedPart[]) {
		this.#parts = parts;
		this.length = parts.reduce((sum, {length}) => sum + length, 0);
	}

	/** Decodes one chunk after the other. */
	* [Symbol.iterator](): Iterator<Shape> {
		for (const {content} of this.#parts) {
			yield * decodeJson<readonly Shape[]>(content);
		}
	}
}
