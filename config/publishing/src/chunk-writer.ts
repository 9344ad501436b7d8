/** Writes the chunks of a publish that the store lacks. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {Chunk} from './chunks.js';
import {CHUNK_PREFIX, hashChunk} from './stored-configuration.js';

/** Writes of one chunk before the publish gives up. */
const MOST_TRIES = 5;

/** Options of {@link writeChunks}. */
export interface WriteChunksOptions {
	readonly store: KeyValueStore;
	readonly chunks: readonly Chunk[];
	/** Chunks of the version in force; they are in use and need no look. */
	readonly inForce: ReadonlySet<string>;
	/** Chunks that a collection may be deleting; they are written again, so that its deletes miss. */
	readonly condemned: ReadonlySet<string>;
}

/** Makes sure that the store holds every chunk whole. Answers how many bytes were written. */
export async function writeChunks({store, chunks, inForce, condemned}: WriteChunksOptions): Promise<Either<StoreError, number>> {
	let writtenBytes = 0;
	const wanted = new Map(chunks.filter(({hash}) => !inForce.has(hash)).map(chunk => [chunk.hash, chunk]));
	for (const chunk of wanted.values()) {
		const written = await writeChunk({store, chunk, isCondemned: condemned.has(chunk.hash)});
		if (written.isLeft()) {
			return written;
		}

		writtenBytes += written.unsafeCoerce();
	}

	return Right(writtenBytes);
}

async function writeChunk({store, chunk, isCondemned}: {readonly store: KeyValueStore; readonly chunk: Chunk; readonly isCondemned: boolean}): Promise<Either<StoreError, number>> {
	const key = `${CHUNK_PREFIX}${chunk.hash}`;
	let mustWrite = isCondemned;
	let lastError: StoreError = {code: 'undecided', message: `${key}: the write was not seen to take effect`};
	for (let attempt = 0; attempt < MOST_TRIES; attempt += 1) {
		const existing = await store.get(key).run();
		if (existing.isLeft()) {
			return Left(existing.extract());
		}

		const found = existing.unsafeCoerce();
		if (found && !mustWrite && hashChunk(found.value) === chunk.hash) {
			return Right(attempt === 0 ? 0 : chunk.bytes);
		}

		const written = await store.compareAndSwap({key, value: chunk.content, expectedIndex: found?.modifyIndex ?? 0}).run();
		if (written.orDefault(false)) {
			return Right(chunk.bytes);
		}

		// Another write came between, or the answer was lost: any whole chunk of another index will do.
		mustWrite = false;
		lastError = written.swap().orDefault(lastError);
		if (lastError.code === 'rejected') {
			return Left(lastError);
		}
	}

	return Left(lastError);
}
