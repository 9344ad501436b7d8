/**
 * Splits a set into chunks below the store's limit for a value, and joins chunks to a set.
 *
 * Chunking is content-defined: whether a chunk ends after an object depends on the hash of that object. Adding,
 * changing or removing an object therefore changes only the chunks around it.
 */
import {hashText} from '@pomelopick/core.text-hash';
import type {ConfigurationSet} from '@pomelopick/core.types';
import {hashChunk} from './stored-configuration.js';
import type {ChunkReference} from './stored-configuration.js';

/** Average number of objects in a chunk. */
const AVERAGE_OBJECTS_PER_CHUNK = 512n;
/** Maximum number of objects in a chunk. It keeps a chunk of the longest entries well below 1 MB. */
const MAX_OBJECTS_PER_CHUNK = 4096;

/** A chunk with its content. */
export interface Chunk extends ChunkReference {
	readonly content: Uint8Array;
}

/** Splits each list of a set into chunks. The same list always gives the same chunks; an empty list gives one chunk. */
export function splitIntoChunks(set: ConfigurationSet): readonly Chunk[] {
	return Object.entries(set).flatMap(([kind, objects]) => splitList({kind, objects: objects as readonly unknown[]}));
}

/** Decodes the chunks of a root and joins them to one list per kind. The chunks must be in the order of the root. */
export function joinChunks(chunks: ReadonlyArray<{readonly kind: string; readonly content: Uint8Array}>): Record<string, unknown[]> {
	const lists: Record<string, unknown[]> = {};
	for (const {kind, content} of chunks) {
		lists[kind] ??= [];
		for (const object of JSON.parse(new TextDecoder().decode(content)) as unknown[]) {
			lists[kind].push(object);
		}
	}

	return lists;
}

function splitList({kind, objects}: {readonly kind: string; readonly objects: readonly unknown[]}): Chunk[] {
	const chunks: Chunk[] = [];
	let texts: string[] = [];
	const finishChunk = (): void => {
		const content = new TextEncoder().encode(`[${texts.join(',')}]`);
		chunks.push({
			kind, content, hash: hashChunk(content), bytes: content.length,
		});
		texts = [];
	};

	for (const object of objects) {
		const text = JSON.stringify(object);
		texts.push(text);
		if (texts.length >= MAX_OBJECTS_PER_CHUNK || hashText(text) % AVERAGE_OBJECTS_PER_CHUNK === 0n) {
			finishChunk();
		}
	}

	if (texts.length > 0 || chunks.length === 0) {
		finishChunk();
	}

	return chunks;
}
