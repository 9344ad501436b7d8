/** The stored list of chunks that are pending deletion: each running collection has an entry with the chunks it is about to delete. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {ReadConfigurationError} from './read.js';
import {
	CHUNK_PREFIX, PENDING_DELETION_KEY, decodeJson, encodeJson,
} from './stored-configuration.js';
import type {PendingDeletion} from './stored-configuration.js';

/** Maximum number of attempts to update the list when other collections write it at the same time. */
const MAX_WRITE_ATTEMPTS = 5;

/** Options of {@link cancelAbandonedCollections}. */
export interface CancelAbandonedCollectionsOptions {
	readonly store: KeyValueStore;
	/** Age from which a collection is considered abandoned, in milliseconds. */
	readonly publishTimeoutMs: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
}

/** Options of {@link updatePendingDeletions}. */
export interface UpdatePendingDeletionsOptions {
	readonly store: KeyValueStore;
	/** Returns the new list. It is called again if another collection changed the list. */
	readonly change: (pendingDeletions: readonly PendingDeletion[]) => readonly PendingDeletion[];
}

/**
 * Cancels collections that did not finish within the timeout and removes their entries from the list.
 *
 * Their chunks are written again with the same content. A cancelled collection that resumes deletes with the
 * modify indexes that it read before, so its deletes fail.
 */
export async function cancelAbandonedCollections({store, publishTimeoutMs, nowMs}: CancelAbandonedCollectionsOptions): Promise<Either<ReadConfigurationError, true>> {
	const current = await readPendingDeletions(store);
	const abandoned = current.map(({pendingDeletions}) => pendingDeletions.filter(({startedAtMs}) => nowMs - startedAtMs >= publishTimeoutMs)).orDefault([]);
	for (const {hashes} of abandoned) {
		for (const hash of hashes) {
			const advanced = await advanceModifyIndex({store, key: `${CHUNK_PREFIX}${hash}`});
			if (advanced.isLeft()) {
				return advanced;
			}
		}
	}

	const abandonedIds = new Set(abandoned.map(({collectionId}) => collectionId));
	return abandoned.length > 0
		? updatePendingDeletions({store, change: entries => entries.filter(({collectionId}) => !abandonedIds.has(collectionId))})
		: current.map(() => true as const);
}

/**
 * Advances the modify index of a key by writing its current value again.
 *
 * A write that fails because another one came first is not repeated: the other write advanced the index as well.
 */
export async function advanceModifyIndex({store, key}: {readonly store: KeyValueStore; readonly key: string}): Promise<Either<ReadConfigurationError, true>> {
	const read = await store.get(key).run();
	if (read.isLeft()) {
		return read;
	}

	const found = read.unsafeCoerce();
	if (!found) {
		return Right(true);
	}

	const written = await store.compareAndSwap({key, value: found.value, expectedIndex: found.modifyIndex}).run();
	return written.map((): true => true);
}

async function readPendingDeletions(store: KeyValueStore): Promise<Either<ReadConfigurationError, {readonly pendingDeletions: readonly PendingDeletion[]; readonly modifyIndex: number}>> {
	const stored = await store.get(PENDING_DELETION_KEY).run();
	return stored.map(found => ({pendingDeletions: found ? decodeJson<readonly PendingDeletion[]>(found.value) : [], modifyIndex: found?.modifyIndex ?? 0}));
}

/** Updates the list of chunks pending deletion by compare-and-swap. */
export async function updatePendingDeletions({store, change}: UpdatePendingDeletionsOptions): Promise<Either<ReadConfigurationError, true>> {
	for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
		const read = await readPendingDeletions(store);
		if (read.isLeft()) {
			return read;
		}

		const {pendingDeletions, modifyIndex} = read.unsafeCoerce();
		const written = await store.compareAndSwap({key: PENDING_DELETION_KEY, value: encodeJson(change(pendingDeletions)), expectedIndex: modifyIndex}).run();
		if (written.isLeft()) {
			return Left(written.extract());
		}

		if (written.unsafeCoerce()) {
			return Right(true);
		}
	}

	return Left({code: 'unavailable', message: `${PENDING_DELETION_KEY}: ${MAX_WRITE_ATTEMPTS} writes failed because other collections changed the list`});
}
