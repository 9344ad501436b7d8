/** Publishes a checked set as the next version. */
import {randomUUID} from 'node:crypto';
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet, ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {splitIntoChunks} from './chunks.js';
import type {Chunk} from './chunks.js';
import {readRoot} from './read.js';
import {CHUNK_PREFIX, ROOT_KEY} from './stored-configuration.js';
import type {ConfigurationRoot} from './stored-configuration.js';

/** Options of {@link publishConfiguration}. */
export interface PublishConfigurationOptions {
	readonly store: KeyValueStore;
	readonly set: ConfigurationSet;
	readonly author: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Version that the set was edited from; absent: the current one. */
	readonly basedOn?: ConfigurationVersion;
	readonly publishId?: PublishId;
}

/** How a publish ended. */
export type PublishOutcome =
	| {readonly kind: 'accepted'; readonly version: ConfigurationVersion; readonly publishId: PublishId}
	| {readonly kind: 'refused'; readonly winner: ConfigurationRoot}
	| {readonly kind: 'undecided'; readonly publishId: PublishId; readonly detail: string};

/** Writes the chunks that the store lacks, then swaps the root. Left: nothing was published. */
export function publishConfiguration({store, set, author, nowMs, basedOn, publishId = randomUUID() as PublishId}: PublishConfigurationOptions): EitherAsync<StoreError, PublishOutcome> {
	return EitherAsync.fromPromise(async () => {
		const current = await readRoot(store).run();
		if (current.isLeft()) {
			return current;
		}

		const found = current.unsafeCoerce();
		if (found?.root.publishId === publishId) {
			return Right({kind: 'accepted', version: found.root.version, publishId});
		}

		if (found && basedOn !== undefined && found.root.version !== basedOn) {
			return Right({kind: 'refused', winner: found.root});
		}

		const chunks = splitIntoChunks(set);
		const written = await writeChunks({store, chunks});
		if (written.isLeft()) {
			return written;
		}

		const root: ConfigurationRoot = {
			version: ((found?.root.version ?? 0) + 1) as ConfigurationVersion,
			publishId,
			author,
			publishedAtMs: nowMs,
			chunks: chunks.map(({kind, hash, bytes}) => ({kind, hash, bytes})),
		};
		return swapRoot({store, root, expectedIndex: found?.modifyIndex ?? 0});
	});
}

async function writeChunks({store, chunks}: {readonly store: KeyValueStore; readonly chunks: readonly Chunk[]}): Promise<Either<StoreError, void>> {
	for (const {hash, content} of chunks) {
		const key = `${CHUNK_PREFIX}${hash}`;
		const existing = await store.get(key).run();
		if (existing.isRight() && existing.extract() !== undefined) {
			continue;
		}

		const written = await store.compareAndSwap({key, value: content, expectedIndex: 0}).run();
		const error = written.swap().toMaybe().extract();
		if (error && error.code !== 'undecided') {
			return Left(error);
		}
	}

	return Right(undefined);
}

async function swapRoot({store, root, expectedIndex}: {readonly store: KeyValueStore; readonly root: ConfigurationRoot; readonly expectedIndex: number}): Promise<Either<StoreError, PublishOutcome>> {
	const value = new TextEncoder().encode(JSON.stringify(root));
	const swapped = await store.compareAndSwap({key: ROOT_KEY, value, expectedIndex}).run();
	const error = swapped.swap().toMaybe().extract();
	if (error && error.code !== 'undecided') {
		return Left(error);
	}

	if (swapped.isRight() && swapped.extract()) {
		return Right({kind: 'accepted', version: root.version, publishId: root.publishId});
	}

	const after = await readRoot(store).run();
	if (after.isLeft()) {
		return Right({kind: 'undecided', publishId: root.publishId, detail: 'the store does not answer a read after the write'});
	}

	const found = after.unsafeCoerce();
	if (found?.root.publishId === root.publishId) {
		return Right({kind: 'accepted', version: root.version, publishId: root.publishId});
	}

	return found
		? Right({kind: 'refused', winner: found.root})
		: Right({kind: 'undecided', publishId: root.publishId, detail: 'the write was not found'});
}
