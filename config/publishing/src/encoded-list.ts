/** A list of objects that is stored as encoded chunks and decoded each time it is iterated. */
import type {ObjectList} from '@pomelopick/core.types';
import {decodeJson} from './stored-configuration.js';

/** One verified chunk of a list, still encoded. */
export interface EncodedChunk {
	/** JSON array of the objects. */
	readonly content: Uint8Array;
	/** Number of objects. */
	readonly length: number;
}

/**
 * Avoids keeping the objects of a long list on the heap. The encoded chunks are kept anyway to serve them to peers,
 * and the objects are read only when the list changes.
 */
export class EncodedList<Shape> implements ObjectList<Shape> {
	readonly length: number;
	readonly #chunks: readonly EncodedChunk[];

	constructor(chunks: readonly EncodedChunk[]) {
		this.#chunks = chunks;
		this.length = chunks.reduce((sum, {length}) => sum + length, 0);
	}

	/** Decodes one chunk after the other. */
	* [Symbol.iterator](): Iterator<Shape> {
		for (const {content} of this.#chunks) {
			yield * decodeJson<readonly Shape[]>(content);
		}
	}
}
