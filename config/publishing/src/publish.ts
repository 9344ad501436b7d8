/** Publishes a checked configuration set as the next version. */
import {randomUUID} from 'node:crypto';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ConfigurationSet, ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {writeChunks} from './chunk-writer.js';
import {splitIntoChunks} from './chunks.js';
import {readRoot, readVersion} from './read.js';
import type {ReadConfigurationError, RootAndIndex} from './read.js';
import {
	PENDING_DELETION_KEY, decodeJson, encodeJson, encodeRoot, PUBLISH_PREFIX, ROOT_KEY, versionKey,
} from './stored-configuration.js';
import type {
	ChunkReference, ConfigurationRoot, PendingDeletion, PublishIntent,
} from './stored-configuration.js';

/** Maximum number of tries to swap the root, or to find out the outcome of a swap whose response was lost. */
const MAX_SWAP_TRIES = 6;
/** Pause between tries of a swap. */
const RETRY_PAUSE_MS = 250;
/** Maximum number of attempts, each with a new read of the root, when collections make the swap fail. */
const MAX_ATTEMPTS = 3;

/** Options of {@link publishConfiguration}. */
export interface PublishConfigurationOptions {
	readonly store: KeyValueStore;
	readonly set: ConfigurationSet;
	readonly author: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Version that the set was edited from; the publish is refused if that is not the newest. If absent, the set replaces whichever version is the newest. */
	readonly basedOn?: ConfigurationVersion;
	/** Identifies the publish when it is retried; generated if absent. */
	readonly publishId?: PublishId;
	/** Earlier version whose content the set has. */
	readonly restores?: ConfigurationVersion;
	/** Also checks the chunks of the active version, and writes damaged ones again. */
	readonly repairsDamagedChunks?: boolean;
	/** Waits between tries; the duration is in milliseconds. */
	readonly pause?: (durationMs: number) => Promise<void>;
}

/**
 * Outcome of a publish.
 *
 * - `accepted`: the version was published.
 * - `refused`: another publish came first; `winner` is the root of that one.
 * - `undecided`: it could not be determined whether the version was published. The publish can be retried with its id.
 */
export type PublishOutcome =
	| {readonly kind: 'accepted'; readonly version: ConfigurationVersion; readonly publishId: PublishId}
	| {readonly kind: 'refused'; readonly winner: ConfigurationRoot}
	| {readonly kind: 'undecided'; readonly publishId: PublishId; readonly detail: string};

type PublishResult = Either<ReadConfigurationError, PublishOutcome>;

/**
 * Writes the chunks that are missing from the store, then swaps the root.
 *
 * A publish can be retried with the same id at any time. If it was accepted before, that outcome is returned
 * and nothing is written. Left means that nothing was published with this id.
 */
export function publishConfiguration(options: PublishConfigurationOptions): EitherAsync<ReadConfigurationError, PublishOutcome> {
	const {publishId = randomUUID() as PublishId, pause = sleep} = options;
	return EitherAsync.fromPromise(async () => runAttempt({
		...options, publishId, pause, attemptsLeft: MAX_ATTEMPTS,
	}));
}

interface PublishAttempt extends PublishConfigurationOptions {
	readonly publishId: PublishId;
	readonly pause: (durationMs: number) => Promise<void>;
	/** Remaining attempts, including this one. */
	readonly attemptsLeft: number;
}

/** Returns the outcome of an earlier run of the same publish, if it has one; otherwise prepares and swaps the root. */
async function runAttempt(options: PublishAttempt): Promise<PublishResult> {
	const {store, publishId} = options;
	// The root is read before the check for an earlier run. If that run takes effect after the check, the swap below fails.
	const current = await readRoot(store).run();
	if (current.isLeft()) {
		return current;
	}

	const found = current.unsafeCoerce();
	const earlier = await findEarlierAttempt({store, publishId, newest: found?.root});
	return earlier.caseOf<Promise<PublishResult>>({
		Left: async error => Left(error),
		Right: async outcome => outcome ? Right(outcome) : prepareAndSwap({options, found}),
	});
}

interface FindEarlierAttemptOptions {
	readonly store: KeyValueStore;
	readonly publishId: PublishId;
	readonly newest: ConfigurationRoot | undefined;
}

/** Returns the outcome of an earlier run of the same publish; undefined if there was none, or if its version number is still free. */
async function findEarlierAttempt({store, publishId, newest}: FindEarlierAttemptOptions): Promise<Either<ReadConfigurationError, PublishOutcome | undefined>> {
	if (newest?.publishId === publishId) {
		return Right({kind: 'accepted', version: newest.version, publishId});
	}

	const stored = await store.get(`${PUBLISH_PREFIX}${publishId}`).run();
	if (stored.isLeft()) {
		return stored;
	}

	const found = stored.unsafeCoerce();
	if (!found) {
		return Right(undefined);
	}

	const {version} = decodeJson<PublishIntent>(found.value);
	const winner = await findWinner({store, version, publishId});
	return winner.map(outcome => outcome ?? (version <= (newest?.version ?? 0)
		? {kind: 'undecided', publishId, detail: `the publish attempted version ${version}, which is no longer retained`}
		: undefined));
}

/** Writes the intent, the missing chunks and the copy of the newest root, then swaps the root. */
async function prepareAndSwap({options, found}: {readonly options: PublishAttempt; readonly found: RootAndIndex | undefined}): Promise<PublishResult> {
	const {store, set, basedOn, nowMs, repairsDamagedChunks: repairs = false} = options;
	if (found && basedOn !== undefined && found.root.version !== basedOn) {
		return Right({kind: 'refused', winner: found.root});
	}

	const chunks = splitIntoChunks(set);
	const root = createRoot({options, found, chunks});
	const prepared = await EitherAsync.fromPromise(async () => writeIntent({
		store, root, startedAtMs: nowMs, base: found?.root,
	}))
		.chain(() => readPendingDeletionHashes(store))
		.chain(pendingDeletionHashes => EitherAsync.fromPromise(async (): Promise<Either<ReadConfigurationError, number>> => writeChunks({
			store, chunks, pendingDeletionHashes, activeHashes: new Set(repairs ? [] : found?.root.chunks.map(({hash}) => hash)),
		})))
		.chain(() => EitherAsync.fromPromise(async () => archiveRoot({store, found})))
		.run();
	return prepared.caseOf<Promise<PublishResult>>({
		Left: async error => Left(error),
		Right: async () => swapRoot({options, root, expectedIndex: found?.modifyIndex ?? 0}),
	});
}

function createRoot({options, found, chunks}: {readonly options: PublishAttempt; readonly found: RootAndIndex | undefined; readonly chunks: readonly ChunkReference[]}): ConfigurationRoot {
	const {publishId, author, nowMs, restores} = options;
	return {
		version: ((found?.root.version ?? 0) + 1) as ConfigurationVersion, publishId, author, publishedAtMs: nowMs, restores, chunks: chunks.map(({hash, bytes, kind}) => ({hash, bytes, kind})),
	};
}

interface WriteIntentOptions {
	readonly store: KeyValueStore;
	readonly root: ConfigurationRoot;
	/** Newest root. Its chunks are not listed in the intent: while the swap can succeed, this root is the newest and its chunks are retained. */
	readonly base: ConfigurationRoot | undefined;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
}

/** Records the version and the chunks of the publish, before the publish depends on any chunk. */
async function writeIntent({store, root, base, startedAtMs}: WriteIntentOptions): Promise<Either<ReadConfigurationError, true>> {
	const {publishId, version, chunks} = root;
	const baseHashes = new Set(base?.chunks.map(({hash}) => hash));
	const intent: PublishIntent = {
		publishId, version, startedAtMs, hashes: chunks.map(({hash}) => hash).filter(hash => !baseHashes.has(hash)),
	};
	return ensureValue({
		store, key: `${PUBLISH_PREFIX}${publishId}`, value: encodeJson(intent), overwrites: true,
	});
}

/** Reads the hashes of all chunks that collections are about to delete. */
function readPendingDeletionHashes(store: KeyValueStore): EitherAsync<ReadConfigurationError, ReadonlySet<string>> {
	return store.get(PENDING_DELETION_KEY)
		.map(found => new Set((found ? decodeJson<readonly PendingDeletion[]>(found.value) : []).flatMap(({hashes}) => hashes)))
		.mapLeft((error): ReadConfigurationError => error);
}

/** Copies the newest root to its versioned key, before the root is replaced. */
async function archiveRoot({store, found}: {readonly store: KeyValueStore; readonly found: RootAndIndex | undefined}): Promise<Either<ReadConfigurationError, true>> {
	return found
		? ensureValue({
			store, key: versionKey(found.root.version), value: encodeRoot(found.root), overwrites: false,
		})
		: Right(true);
}

interface EnsureValueOptions {
	readonly store: KeyValueStore;
	readonly key: string;
	readonly value: Uint8Array;
	/** Whether an existing value is replaced; if false, any existing value is accepted. */
	readonly overwrites: boolean;
}

/** Ensures that a key has a value. For keys that only one publisher writes, or several with the same value. */
async function ensureValue({store, key, value, overwrites}: EnsureValueOptions): Promise<Either<ReadConfigurationError, true>> {
	const existing = await store.get(key).run();
	if (existing.isLeft()) {
		return existing;
	}

	const found = existing.unsafeCoerce();
	if (found && !overwrites) {
		return Right(true);
	}

	const written = await store.compareAndSwap({key, value, expectedIndex: found?.modifyIndex ?? 0}).run();
	const error = written.swap().toMaybe().extract();
	if (error && error.code !== 'undecided') {
		return Left(error);
	}

	const after = await store.get(key).run();
	return after.mapLeft((failure): ReadConfigurationError => failure).chain(stored => stored
		? Right<true>(true)
		: Left({code: 'undecided', message: `${key}: a read after the write did not find a value`}));
}

interface SwapRootOptions {
	readonly options: PublishAttempt;
	readonly root: ConfigurationRoot;
	/** Modify index of the root that is replaced; 0 if there is none. */
	readonly expectedIndex: number;
}

/**
 * Swaps the root and determines the outcome.
 *
 * While the root is unchanged, the same swap is retried. This is safe, as it can take effect only once. It is also
 * necessary: a swap whose response was lost may still be in flight, so the publish cannot be reported as refused yet.
 */
async function swapRoot({options, root, expectedIndex}: SwapRootOptions): Promise<PublishResult> {
	const {store, pause, attemptsLeft} = options;
	const {publishId, version} = root;
	let hasUndecidedSwap = false;
	let detail = '';
	for (let tries = 0; tries < MAX_SWAP_TRIES; tries += 1) {
		const swapped = await store.compareAndSwap({key: ROOT_KEY, value: encodeRoot(root), expectedIndex}).run();
		if (swapped.orDefault(false)) {
			return Right({kind: 'accepted', version, publishId});
		}

		const error = swapped.swap().toMaybe().extract();
		hasUndecidedSwap ||= error?.code === 'undecided';
		if (error && error.code !== 'undecided' && !hasUndecidedSwap) {
			return Left(error);
		}

		const winner = await findWinner({store, version, publishId});
		const outcome = winner.toMaybe().extract();
		if (outcome) {
			return Right(outcome);
		}

		if (!error && winner.isRight() && attemptsLeft > 1) {
			// The modify index changed without a new version: a collection wrote the root again, so this swap can never succeed.
			return runAttempt({...options, attemptsLeft: attemptsLeft - 1});
		}

		detail = error?.message ?? 'the store did not respond to a read after the write';
		await pause(RETRY_PAUSE_MS);
	}

	return Right({kind: 'undecided', publishId, detail});
}

interface FindWinnerOptions {
	readonly store: KeyValueStore;
	readonly version: ConfigurationVersion;
	readonly publishId: PublishId;
}

/** Checks which publish created the version that this one attempts. Returns undefined if the version does not exist yet. */
async function findWinner({store, version, publishId}: FindWinnerOptions): Promise<Either<ReadConfigurationError, PublishOutcome | undefined>> {
	const winner = await readVersion({store, version}).run();
	return winner.caseOf<Either<ReadConfigurationError, PublishOutcome | undefined>>({
		Left: error => error.code === 'unknown-version' ? Right(undefined) : Left(error),
		Right: root => Right(root.publishId === publishId ? {kind: 'accepted', version, publishId} : {kind: 'refused', winner: root}),
	});
}

async function sleep(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
