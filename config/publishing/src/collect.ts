/**
 * Deletes versions that are no longer kept and the chunks that nothing needs any more.
 *
 * A publisher notes the chunks it relies on, and only then reads which ones are condemned; a collector
 * condemns chunks, and only then reads what publishers rely on. One of the two sees the other: either the
 * collector spares the chunk, or the publisher writes it again and the delete by the earlier index misses.
 */
import {randomUUID} from 'node:crypto';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {changeCondemned, moveIndex, takeOverEnded} from './condemnation.js';
import {readInventory} from './inventory.js';
import type {Inventory, StoredIntent, StoredVersion} from './inventory.js';
import type {ReadConfigurationError} from './read.js';
import {CHUNK_PREFIX, ROOT_KEY} from './stored-configuration.js';
import type {Condemnation, PublishIntent} from './stored-configuration.js';

/** Options of {@link collectChunks}. */
export interface CollectChunksOptions {
	readonly store: KeyValueStore;
	/** Earlier versions to keep. */
	readonly keepVersions: number;
	/** Age from which a publish counts as ended, in milliseconds. */
	readonly publishTimeoutMs: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Called between the steps; tests bring about races here. */
	readonly onStep?: (step: CollectStep) => Promise<void>;
}

/** Steps of a collection. */
export type CollectStep = 'listed' | 'condemned' | 'checked';

/** What a collection did. */
export interface CollectOutcome {
	readonly deletedChunks: number;
	readonly deletedVersions: number;
	/** Chunks spared because they were written or needed again meanwhile. */
	readonly sparedChunks: number;
}

/** Collects once. Two collectors at the same time do no harm: each deletes only at the index that it saw. */
export function collectChunks(options: CollectChunksOptions): EitherAsync<ReadConfigurationError, CollectOutcome> {
	return EitherAsync.fromPromise(async () => {
		const {store, onStep} = options;
		const first = await readInventory(store);
		if (first.isLeft()) {
			return first;
		}

		const inventory = first.unsafeCoerce();
		const listed = await listGarbage({options, inventory});
		await onStep?.('listed');
		return listed.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
			Left: async error => Left(error),
			Right: async garbage => sweep({options, inventory, garbage}),
		});
	});
}

type Garbage = ReadonlyMap<string, number>;

/** Chunks that only versions and publishes to be forgotten name, with the index of each. */
async function listGarbage({options, inventory}: {readonly options: CollectChunksOptions; readonly inventory: Inventory}): Promise<Either<ReadConfigurationError, Garbage>> {
	const needed = neededHashes({options, inventory});
	const named = [...inventory.versions.flatMap(({root}) => root.chunks.map(({hash}) => hash)), ...inventory.intents.flatMap(({intent}) => intent.hashes)];
	const garbage = new Map<string, number>();
	for (const hash of new Set(named.filter(name => !needed.has(name)))) {
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

interface SweepOptions {
	readonly options: CollectChunksOptions;
	readonly inventory: Inventory;
	readonly garbage: Garbage;
}

async function sweep({options, inventory, garbage}: SweepOptions): Promise<Either<ReadConfigurationError, CollectOutcome>> {
	const {store, nowMs, onStep} = options;
	const own: Condemnation = {collectionId: randomUUID(), startedAtMs: nowMs, hashes: [...garbage.keys()]};
	const ended = inventory.intents.filter(({intent}) => !isUnderWay({options, intent}));
	const second = await EitherAsync.fromPromise(async () => takeOverEnded(options))
		.chain(() => EitherAsync.fromPromise(async () => changeCondemned({store, change: others => [...others, own]})))
		.chain(() => EitherAsync.fromPromise(async () => ended.length > 0 ? moveIndex({store, key: ROOT_KEY}) : Right(true)))
		.chain(() => EitherAsync.fromPromise(async () => {
			await onStep?.('condemned');
			return readInventory(store);
		}))
		.run();
	await onStep?.('checked');
	return second.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
		Left: async error => Left(error),
		Right: async checked => EitherAsync.fromPromise(async () => deleteUnneeded({
			options, inventory, checked, garbage, ended,
		})).chain(outcome => EitherAsync.fromPromise(async () => {
			const cleared = await changeCondemned({store, change: others => others.filter(({collectionId}) => collectionId !== own.collectionId)});
			return cleared.map(() => outcome);
		})).run(),
	});
}

interface DeleteUnneededOptions {
	readonly options: CollectChunksOptions;
	readonly inventory: Inventory;
	/** Read after the chunks were condemned. */
	readonly checked: Inventory;
	readonly garbage: Garbage;
	readonly ended: readonly StoredIntent[];
}

async function deleteUnneeded({options, inventory, checked, garbage, ended}: DeleteUnneededOptions): Promise<Either<ReadConfigurationError, CollectOutcome>> {
	const {store} = options;
	const needed = neededHashes({options, inventory: checked});
	const unneeded = [...garbage].filter(([hash]) => !needed.has(hash)).map(([hash, modifyIndex]) => ({key: `${CHUNK_PREFIX}${hash}`, modifyIndex}));
	const forgotten = inventory.versions.filter(version => !isKept({options, inventory, version}));
	const deletedChunks = await deleteAll({store, keys: unneeded});
	return deletedChunks.caseOf<Promise<Either<ReadConfigurationError, CollectOutcome>>>({
		Left: async error => Left(error),
		async Right(chunkCount) {
			const deletedVersions = await deleteAll({store, keys: forgotten});
			const deletedIntents = await deleteAll({store, keys: ended});
			return deletedIntents.chain(() => deletedVersions)
				.map(versionCount => ({deletedChunks: chunkCount, deletedVersions: versionCount, sparedChunks: garbage.size - chunkCount}));
		},
	});
}

function neededHashes({options, inventory}: {readonly options: CollectChunksOptions; readonly inventory: Inventory}): ReadonlySet<string> {
	const roots = inventory.versions.filter(version => isKept({options, inventory, version})).map(({root}) => root);
	const intents = inventory.intents.filter(({intent}) => isUnderWay({options, intent}));
	return new Set([
		...(inventory.newest?.chunks ?? []).map(({hash}) => hash),
		...roots.flatMap(({chunks}) => chunks.map(({hash}) => hash)),
		...intents.flatMap(({intent}) => intent.hashes),
	]);
}

function isKept({options, inventory, version}: {readonly options: CollectChunksOptions; readonly inventory: Inventory; readonly version: StoredVersion}): boolean {
	return version.root.version >= (inventory.newest?.version ?? 0) - options.keepVersions;
}

function isUnderWay({options, intent}: {readonly options: CollectChunksOptions; readonly intent: PublishIntent}): boolean {
	return options.nowMs - intent.startedAtMs < options.publishTimeoutMs;
}

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
