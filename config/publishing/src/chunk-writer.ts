/** Writes the chunks of a publish that are missing from the store. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {Chunk} from './chunks.js';
import {CHUNK_PREFIX, hashChunk} from './stored-configuration.js';

/** Maximum number of attempts to write one chunk before the publish fails. */
const MAX_WRITE_ATTEMPTS = 5;

/** Options of {@link writeChunks}. */
export interface WriteChunksOptions {
	readonly store: KeyValueStore;
	readonly chunks: readonly Chunk[];
	/** Hashes of the chunks of the active version. They are in use and are not checked. */
	readonly activeHashes: ReadonlySet<string>;
	/** Hashes of chunks that a collection may be deleting. They are written again, so that its deletes fail. */
	readonly pendingDeletionHashes: ReadonlySet<string>;
}

/** Ensures that the store has an undamaged copy of every chunk. Returns the number of bytes written. */
export async function writeChunks({store, chunks, activeHashes, pendingDeletionHashes}: WriteChunksOptions): Promise<Either<StoreError, number>> {
	let writtenBytes = 0;
	const chunksToCheck = new Map(chunks.filter(({hash}) => !activeHashes.has(hash)).map(chunk => [chunk.hash, chunk]));
	for (const chunk of chunksToCheck.values()) {
		const written = await writeChunk({store, chunk, isPendingDeletion: pendingDeletionHashes.has(chunk.hash)});
		if (written.isLeft()) {
			return written;
		}

		writtenBytes += written.unsafeCoerce();
	}

	return Right(writtenBytes);
}

async function writeChunk({store, chunk, isPendingDeletion}: {readonly store: KeyValueStore; readonly chunk: Chunk; readonly isPendingDeletion: boolean}): Promise<Either<StoreError, number>> {
	const key = `${CHUNK_PREFIX}${chunk.hash}`;
	let mustWrite = isPendingDeletion;
	let lastError: StoreError = {code: 'undecided', message: `${key}: a read after the write did not find the chunk`};
	for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
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

		// Another write came first, or the response was lost. In both cases an undamaged chunk that is read next is sufficient.
		mustWrite = false;
		lastError = written.swap().orDefault(lastError);
		if (lastError.code === 'rejected') {
			return Left(lastError);
		}
	}

	return Left(lastError);
}
