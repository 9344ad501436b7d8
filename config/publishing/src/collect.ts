/**
 * Garbage collection: deletes versions that are no longer retained and chunks that are no longer needed.
 *
 * A publisher first records the chunks that it needs, then reads which chunks are pending deletion. A collector
 * first records the chunks that it is about to delete, then reads which chunks publishers need. So at least one
 * of the two finds the record of the other. Either the collector skips the chunk, or the publisher writes the
 * chunk again, and the delete fails because it expects the earlier modify index.
 */
import {randomUUID} from 'node:crypto';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {advanceModifyIndex, cancelAbandonedCollections, updatePendingDeletions} from './pending-deletion.js';
import {readInventory} from './inventory.js';
import type {Inventory, StoredIntent, StoredVersion} from './inventory.js';
import type {ReadConfigurationError} from './read.js';
import {CHUNK_PREFIX, ROOT_KEY} from './stored-configuration.js';
import type {PendingDeletion, PublishIntent} from './stored-configuration.js';

/** Options of {@link collectChunks}. */
export interface CollectChunksOptions {
	readonly store: KeyValueStore;
	/** Number of earlier versions to retain. */
	readonly keepVersions: number;
	/** Age from which a publish or a collection is considered abandoned, in milliseconds. */
	readonly publishTimeoutMs: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Called after each step; tests use it to provoke races. */
	readonly onStep?: (step: CollectStep) => Promise<void>;
}

/**
 * Steps of a collection: the garbage is listed, its chunks are marked as pending deletion (`condemned`), and the
 * inventory is checked again.
 */
export type CollectStep = 'listed' | 'condemned' | 'checked';

/** Result of a collection. */
export interface CollectOutcome {
	readonly deletedChunks: number;
	readonly deletedVersions: number;
	/** Chunks that were not deleted because they were written or needed again in the meantime. */
	readonly sparedChunks: number;
}

/**
 * Runs one collection.
 *
 * Several collections may run at the same time: each deletes a key only if its modify index is still the one that
 * the collection read.
 */
export function collectChunks(options: CollectChunksOptions): EitherAsync<ReadConfigurationError, CollectOutcome> {
	return EitherAsync.fromPromise(async () => {
		const {store, onStep} = options;
		const initialRead = await readInventory(store);
		if (initialRead.isLeft()) {
			return initialRead;
		}

		const inventory = initialRead.unsafeCoerce();
		const garbageRead = await findGarbage({options, inventory});
		await onStep?.('listed');
		return garbageRead.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
			Left: async error => Left(error),
			Right: async garbage => deleteGarbage({options, inventory, garbage}),
		});
	});
}

/** Modify indexes of the chunks that can be deleted, by hash. */
type Garbage = ReadonlyMap<string, number>;

/** Finds the stored chunks that are referenced only by versions that are not retained or by abandoned publishes. */
async function findGarbage({options, inventory}: {readonly options: CollectChunksOptions; readonly inventory: Inventory}): Promise<Either<ReadConfigurationError, Garbage>> {
	const needed = findNeededHashes({options, inventory});
	const referenced = [...inventory.versions.flatMap(({root}) => root.chunks.map(({hash}) => hash)), ...inventory.intents.flatMap(({intent}) => intent.hashes)];
	const garbage = new Map<string, number>();
	for (const hash of new Set(referenced.filter(hash => !needed.has(hash)))) {
		const found = await options.store.get(`${CHUNK_PREFIX}${hash}`).run();
		if (found.isLeft()) {
			return found;
		}

		const stored = found.unsafeCoerce();
		if (stored) {
			garbage.set(hash, stored.modifyIndex);
		}
	}

	return Right(garbage);
}

interface DeleteGarbageOptions {
	readonly options: CollectChunksOptions;
	readonly inventory: Inventory;
	readonly garbage: Garbage;
}

/** Records the garbage as pending deletion, reads the inventory again and deletes what is still not needed. */
async function deleteGarbage({options, inventory, garbage}: DeleteGarbageOptions): Promise<Either<ReadConfigurationError, CollectOutcome>> {
	const {store, nowMs, onStep} = options;
	const pendingDeletion: PendingDeletion = {collectionId: randomUUID(), startedAtMs: nowMs, hashes: [...garbage.keys()]};
	const abandonedIntents = inventory.intents.filter(({intent}) => !isInProgress({options, intent}));
	const secondRead = await EitherAsync.fromPromise(async () => cancelAbandonedCollections(options))
		.chain(() => EitherAsync.fromPromise(async () => updatePendingDeletions({store, change: entries => [...entries, pendingDeletion]})))
		// Makes the swap of an abandoned publish fail if the publish resumes, as its chunks may be deleted below.
		.chain(() => EitherAsync.fromPromise(async () => abandonedIntents.length > 0 ? advanceModifyIndex({store, key: ROOT_KEY}) : Right(true)))
		.chain(() => EitherAsync.fromPromise(async () => {
			await onStep?.('condemned');
			return readInventory(store);
		}))
		.run();
	await onStep?.('checked');
	return secondRead.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
		Left: async error => Left(error),
		Right: async latestInventory => EitherAsync.fromPromise(async () => deleteUnneeded({
			options, inventory, latestInventory, garbage, abandonedIntents,
		})).chain(outcome => EitherAsync.fromPromise(async () => {
			const cleared = await updatePendingDeletions({store, change: entries => entries.filter(({collectionId}) => collectionId !== pendingDeletion.collectionId)});
			return cleared.map(() => outcome);
		})).run(),
	});
}

interface DeleteUnneededOptions {
	readonly options: CollectChunksOptions;
	readonly inventory: Inventory;
	/** Inventory that was read after the chunks were recorded as pending deletion. */
	readonly latestInventory: Inventory;
	readonly garbage: Garbage;
	readonly abandonedIntents: readonly StoredIntent[];
}

/** Deletes chunks that are not needed by the latest inventory, versions that are not retained and abandoned intents. */
async function deleteUnneeded({options, inventory, latestInventory, garbage, abandonedIntents}: DeleteUnneededOptions): Promise<Either<ReadConfigurationError, CollectOutcome>> {
	const {store} = options;
	const needed = findNeededHashes({options, inventory: latestInventory});
	const unneededChunks = [...garbage].filter(([hash]) => !needed.has(hash)).map(([hash, modifyIndex]) => ({key: `${CHUNK_PREFIX}${hash}`, modifyIndex}));
	const unretainedVersions = inventory.versions.filter(version => !isRetained({options, inventory, version}));
	const deletedChunks = await deleteAll({store, keys: unneededChunks});
	return deletedChunks.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
		Left: async error => Left(error),
		async Right(chunkCount) {
			const deletedVersions = await deleteAll({store, keys: unretainedVersions});
			const deletedIntents = await deleteAll({store, keys: abandonedIntents});
			return deletedIntents.chain(() => deletedVersions)
				.map(versionCount => ({deletedChunks: chunkCount, deletedVersions: versionCount, sparedChunks: garbage.size - chunkCount}));
		},
	});
}

/** Returns the hashes of chunks that must stay: those of the newest root, of retained versions and of publishes in progress. */
function findNeededHashes({options, inventory}: {readonly options: CollectChunksOptions; readonly inventory: Inventory}): ReadonlySet<string> {
	const roots = inventory.versions.filter(version => isRetained({options, inventory, version})).map(({root}) => root);
	const intents = inventory.intents.filter(({intent}) => isInProgress({options, intent}));
	return new Set([
		...(inventory.newest?.chunks ?? []).map(({hash}) => hash),
		...roots.flatMap(({chunks}) => chunks.map(({hash}) => hash)),
		...intents.flatMap(({intent}) => intent.hashes),
	]);
}

/** Whether a version is among the retained ones: the newest and `keepVersions` before it. */
function isRetained({options, inventory, version}: {readonly options: CollectChunksOptions; readonly inventory: Inventory; readonly version: StoredVersion}): boolean {
	return version.root.version >= (inventory.newest?.version ?? 0) - options.keepVersions;
}

/** Whether a publish has not reached the publish timeout, so that its chunks may still be needed. */
function isInProgress({options, intent}: {readonly options: CollectChunksOptions; readonly intent: PublishIntent}): boolean {
	return options.nowMs - intent.startedAtMs < options.publishTimeoutMs;
}

/** Deletes each key whose modify index is unchanged, and returns how many were deleted. */
async function deleteAll({store, keys}: {readonly store: KeyValueStore; readonly keys: ReadonlyArray<{readonly key: string; readonly modifyIndex: number}>}): Promise<Either<StoreError, number>> {
	let count = 0;
	for (const {key, modifyIndex} of keys) {
		const deleted = await store.compareAndDelete({key, expectedIndex: modifyIndex}).run();
		if (deleted.isLeft()) {
			return Left(deleted.extract());
		}

		count += deleted.unsafeCoerce() ? 1 : 0;
	}

	return Right(count);
}
