/** Reads published configurations from the key-value service. */
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import {joinChunks} from './chunks.js';
import {
	CHUNK_PREFIX, hashChunk, parseRoot, ROOT_KEY, versionKey,
} from './stored-configuration.js';
import type {ChunkReference, ConfigurationRoot} from './stored-configuration.js';

/** A root and the modify index of its key. */
export interface RootAndIndex {
	readonly root: ConfigurationRoot;
	readonly modifyIndex: number;
}

/** A version with its root and its assembled set. */
export interface PublishedConfiguration {
	readonly root: ConfigurationRoot;
	readonly set: ConfigurationSet;
}

/** Why a version could not be read. */
export interface ReadConfigurationError {
	readonly code: StoreError['code'] | 'damaged-root' | 'damaged-chunk' | 'missing-chunk' | 'unknown-version';
	readonly message: string;
}

/** Reads the newest root; undefined if nothing has been published yet. */
export function readRoot(store: KeyValueStore): EitherAsync<ReadConfigurationError, RootAndIndex | undefined> {
	return readRootAtKey({store, key: ROOT_KEY});
}

/** Reads the root of the newest or an earlier version. Returns Left `unknown-version` if the version is not retained. */
export function readVersion({store, version}: {readonly store: KeyValueStore; readonly version: number}): EitherAsync<ReadConfigurationError, ConfigurationRoot> {
	return EitherAsync.fromPromise(async () => {
		// The newest root is read first. If it is replaced between the two reads, it has been copied to its versioned key before.
		for (const key of [ROOT_KEY, versionKey(version)]) {
			const read = await readRootAtKey({store, key}).run();
			if (read.isLeft()) {
				return read;
			}

			const found = read.unsafeCoerce();
			if (found?.root.version === version) {
				return Right(found.root);
			}
		}

		return Left({code: 'unknown-version', message: `version: expected one that is kept, found ${version}`});
	});
}

/** Reads and verifies all chunks of a root. */
export function readSet({store, root}: {readonly store: KeyValueStore; readonly root: ConfigurationRoot}): EitherAsync<ReadConfigurationError, PublishedConfiguration> {
	return EitherAsync.fromPromise(async () => {
		const chunks = new Map<string, Uint8Array>();
		for (const reference of root.chunks) {
			const chunk = await readChunk({store, reference});
			if (chunk.isLeft()) {
				return chunk;
			}

			chunks.set(reference.hash, chunk.unsafeCoerce());
		}

		return assembleSet({root, chunks});
	});
}

/** Joins verified chunks to a set and checks it. Returns Left `damaged-chunk` if the set is invalid. */
export function assembleSet({root, chunks}: {readonly root: ConfigurationRoot; readonly chunks: ReadonlyMap<string, Uint8Array>}): Either<ReadConfigurationError, PublishedConfiguration> {
	const joined = joinChunks(root.chunks.map(({kind, hash}) => ({kind, content: chunks.get(hash)!})));
	return checkConfigurationSet(joined)
		.map(set => ({root, set}))
		.mapLeft((faults): ReadConfigurationError => ({code: 'damaged-chunk', message: `version ${root.version} is not a valid set: ${faults[0]?.message ?? ''}`}));
}

function readRootAtKey({store, key}: {readonly store: KeyValueStore; readonly key: string}): EitherAsync<ReadConfigurationError, RootAndIndex | undefined> {
	return EitherAsync.fromPromise(async () => {
		const stored = await store.get(key).run();
		return stored.mapLeft((error): ReadConfigurationError => error).chain(found => found
			? parseRoot(found.value).map(root => ({root, modifyIndex: found.modifyIndex}))
			: Right(undefined));
	});
}

async function readChunk({store, reference}: {readonly store: KeyValueStore; readonly reference: ChunkReference}): Promise<Either<ReadConfigurationError, Uint8Array>> {
	const stored = await store.get(`${CHUNK_PREFIX}${reference.hash}`).run();
	return stored.mapLeft((error): ReadConfigurationError => error).chain(found => {
		if (!found) {
			return Left({code: 'missing-chunk', message: `chunk ${reference.hash} is not in the store`});
		}

		return hashChunk(found.value) === reference.hash
			? Right(found.value)
			: Left({code: 'damaged-chunk', message: `chunk ${reference.hash} does not match its hash`});
	});
}
