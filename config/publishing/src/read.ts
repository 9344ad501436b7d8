/** Reads a published configuration back from the key-value service. */
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet} from '@pomelopick/core.types';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import {joinChunks} from './chunks.js';
import {
	CHUNK_PREFIX, ROOT_KEY, hashChunk,
} from './stored-configuration.js';
import type {ChunkReference, ConfigurationRoot} from './stored-configuration.js';

/** A root and the index of its key. */
export interface RootAndIndex {
	readonly root: ConfigurationRoot;
	readonly modifyIndex: number;
}

/** A whole version. */
export interface PublishedConfiguration {
	readonly root: ConfigurationRoot;
	readonly set: ConfigurationSet;
}

/** Why a version could not be read. */
export interface ReadConfigurationError {
	readonly code: StoreError['code'] | 'damaged-chunk' | 'missing-chunk';
	readonly message: string;
}

/** Reads the root; undefined when nothing was published yet. */
export function readRoot(store: KeyValueStore): EitherAsync<StoreError, RootAndIndex | undefined> {
	return store.get(ROOT_KEY).map(stored => stored && {
		root: JSON.parse(new TextDecoder().decode(stored.value)) as ConfigurationRoot,
		modifyIndex: stored.modifyIndex,
	});
}

/** Reads and verifies all chunks of a root. */
export function readSet({store, root}: {readonly store: KeyValueStore; readonly root: ConfigurationRoot}): EitherAsync<ReadConfigurationError, PublishedConfiguration> {
	return EitherAsync.fromPromise(async () => {
		const contents: Array<{kind: string; content: Uint8Array}> = [];
		for (const reference of root.chunks) {
			const chunk = await readChunk({store, reference});
			if (chunk.isLeft()) {
				return chunk;
			}

			contents.push({kind: reference.kind, content: chunk.unsafeCoerce()});
		}

		return checkConfigurationSet(joinChunks(contents))
			.map(set => ({root, set}))
			.mapLeft((faults): ReadConfigurationError => ({code: 'damaged-chunk', message: `version ${root.version} fails its checks: ${faults[0]?.message ?? ''}`}));
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
			: Left({code: 'damaged-chunk', message: `chunk ${reference.hash} has another hash`});
	});
}
