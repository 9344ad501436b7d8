/** The list of chunks that collections are about to delete. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {ReadConfigurationError} from './read.js';
import {
	CHUNK_PREFIX, PENDING_DELETION_KEY, decodeJson, encodeJson,
} from './stored-configuration.js';
import type {Condemnation} from './stored-configuration.js';

/** Tries to change the list against other collections. */
const MOST_TRIES = 5;

/** Options of {@link takeOverEnded}. */
export interface TakeOverEndedOptions {
	readonly store: KeyValueStore;
	/** Age from which a collection counts as ended, in milliseconds. */
	readonly publishTimeoutMs: number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
}

/** Options of {@link changeCondemned}. */
export interface ChangeCondemnedOptions {
	readonly store: KeyValueStore;
	readonly change: (condemnations: readonly Condemnation[]) => readonly Condemnation[];
}

/**
 * Ends collections that stopped half-way: writes their chunks again, so that deletes by the indexes that they saw miss.
 */
export async function takeOverEnded({store, publishTimeoutMs, nowMs}: TakeOverEndedOptions): Promise<Either<ReadConfigurationError, true>> {
	const condemned = await readCondemned(store);
	const ended = condemned.map(({condemnations}) => condemnations.filter(({startedAtMs}) => nowMs - startedAtMs >= publishTimeoutMs)).orDefault([]);
	for (const {hashes} of ended) {
		for (const hash of hashes) {
			const moved = await moveIndex({store, key: `${CHUNK_PREFIX}${hash}`});
			if (moved.isLeft()) {
				return moved;
			}
		}
	}

	const endedIds = new Set(ended.map(({collectionId}) => collectionId));
	return ended.length > 0
		? changeCondemned({store, change: others => others.filter(({collectionId}) => !endedIds.has(collectionId))})
		: condemned.map(() => true as const);
}

/** Writes a key's value again. Another write in between moves the index as well. */
export async function moveIndex({store, key}: {readonly store: KeyValueStore; readonly key: string}): Promise<Either<ReadConfigurationError, true>> {
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

async function readCondemned(store: KeyValueStore): Promise<Either<ReadConfigurationError, {readonly condemnations: readonly Condemnation[]; readonly modifyIndex: number}>> {
	const stored = await store.get(PENDING_DELETION_KEY).run();
	return stored.map(found => ({condemnations: found ? decodeJson<readonly Condemnation[]>(found.value) : [], modifyIndex: found?.modifyIndex ?? 0}));
}

/** Changes the list of condemned chunks. */
export async function changeCondemned({store, change}: ChangeCondemnedOptions): Promise<Either<ReadConfigurationError, true>> {
	for (let tries = 0; tries < MOST_TRIES; tries += 1) {
		const read = await readCondemned(store);
		if (read.isLeft()) {
			return read;
		}

		const {condemnations, modifyIndex} = read.unsafeCoerce();
		const written = await store.compareAndSwap({key: PENDING_DELETION_KEY, value: encodeJson(change(condemnations)), expectedIndex: modifyIndex}).run();
		if (written.isLeft()) {
			return Left(written.extract());
		}

		if (written.unsafeCoerce()) {
			return Right(true);
		}
	}

	return Left({code: 'unavailable', message: `${PENDING_DELETION_KEY}: ${MOST_TRIES} writes lost to other collections`});
}
