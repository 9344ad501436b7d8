/** Splits a set into chunks below the store's value limit and puts it together again. */
import type {ConfigurationSet} from '@pomelopick/core.types';
import {hashChunk} from './stored-configuration.js';
import type {ChunkReference} from './stored-configuration.js';

/** Objects in one chunk; keeps a chunk of the longest entries well below 1 MB. */
const OBJECTS_PER_CHUNK = 4096;

/** A chunk with its content. */
export interface Chunk extends ChunkReference {
	readonly content: Uint8Array;
}

/** Splits a set. The same list always gives the same chunks. */
export function splitIntoChunks(set: ConfigurationSet): readonly Chunk[] {
	return Object.entries(set).flatMap(([kind, objects]) => splitList({kind, objects: objects as readonly unknown[]}));
}

/** Joins the contents of all chunks of a root, in the root's order. */
export function joinChunks(chunks: ReadonlyArray<{readonly kind: string; readonly content: Uint8Array}>): Record<string, unknown[]> {
	const lists: Record<string, unknown[]> = {};
	for (const {kind, content} of chunks) {
		const objects = JSON.parse(new TextDecoder().decode(content)) as unknown[];
		lists[kind] = [...(lists[kind] ?? []), ...objects];
	}

	return lists;
}

function splitList({kind, objects}: {readonly kind: string; readonly objects: readonly unknown[]}): Chunk[] {
	const chunks: Chunk[] = [];
	for (let start = 0; start < objects.length || start === 0; start += OBJECTS_PER_CHUNK) {
		const content = new TextEncoder().encode(JSON.stringify(objects.slice(start, start + OBJECTS_PER_CHUNK)));
		chunks.push({
			kind, content, hash: hashChunk(content), bytes: content.length,
		});
	}

	return chunks;
}
