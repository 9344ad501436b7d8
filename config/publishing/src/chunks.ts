/**
 * Splits a set into chunks below the store's value limit and puts it together again.
 *
 * A chunk ends at an object whose own hash says so, so that adding, changing or removing an object changes
 * the chunk around it and leaves the others as they are.
 */
import {hashText} from '@pomelopick/core.text-hash';
import type {ConfigurationSet} from '@pomelopick/core.types';
import {hashChunk} from './stored-configuration.js';
import type {ChunkReference} from './stored-configuration.js';

/** Average number of objects in a chunk. */
const AVERAGE_OBJECTS = 512n;
/** Most objects in a chunk; keeps a chunk of the longest entries well below 1 MB. */
const MOST_OBJECTS = 4096;

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
	const finish = (): void => {
		const content = new TextEncoder().encode(`[${texts.join(',')}]`);
		chunks.push({
			kind, content, hash: hashChunk(content), bytes: content.length,
		});
		texts = [];
	};

	for (const object of objects) {
		const text = JSON.stringify(object);
		texts.push(text);
		if (texts.length >= MOST_OBJECTS || hashText(text) % AVERAGE_OBJECTS === 0n) {
			finish();
		}
	}

	if (texts.length > 0 || chunks.length === 0) {
		finish();
	}

	return chunks;
}
