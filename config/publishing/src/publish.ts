/** Publishes a checked set as the next version. */
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
	ChunkReference, Condemnation, ConfigurationRoot, PublishIntent,
} from './stored-configuration.js';

/** Tries to find out how a swap ended whose answer was lost. */
const MOST_SWAP_TRIES = 6;
const RETRY_PAUSE_MS = 250;
/** Attempts when collections fence them off. */
const MOST_ATTEMPTS = 3;

/** Options of {@link publishConfiguration}. */
export interface PublishConfigurationOptions {
	readonly store: KeyValueStore;
	readonly set: ConfigurationSet;
	readonly author: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Version that the set was edited from; absent: the current one. */
	readonly basedOn?: ConfigurationVersion;
	/** Identifies the publish when it is run again. */
	readonly publishId?: PublishId;
	/** Version whose content the set repeats. */
	readonly restores?: ConfigurationVersion;
	/** Reads also the chunks of the version in force, and writes damaged ones again. */
	readonly repairs?: boolean;
	/** Waits between tries, in milliseconds. */
	readonly pause?: (durationMs: number) => Promise<void>;
}

/** How a publish ended. */
export type PublishOutcome =
	| {readonly kind: 'accepted'; readonly version: ConfigurationVersion; readonly publishId: PublishId}
	| {readonly kind: 'refused'; readonly winner: ConfigurationRoot}
	| {readonly kind: 'undecided'; readonly publishId: PublishId; readonly detail: string};

type PublishResult = Either<ReadConfigurationError, PublishOutcome>;

/**
 * Writes the chunks that the store lacks, then swaps the root.
 *
 * The same publish id may be run again at any time: a publish that was accepted before is only reported.
 * Left: nothing was published under this id.
 */
export function publishConfiguration(options: PublishConfigurationOptions): EitherAsync<ReadConfigurationError, PublishOutcome> {
	const {publishId = randomUUID() as PublishId, pause = sleep} = options;
	return EitherAsync.fromPromise(async () => attempt({
		...options, publishId, pause, triesLeft: MOST_ATTEMPTS,
	}));
}

interface Attempt extends PublishConfigurationOptions {
	readonly publishId: PublishId;
	readonly pause: (durationMs: number) => Promise<void>;
	/** Attempts left after a collection fenced one off. */
	readonly triesLeft: number;
}

async function attempt(options: Attempt): Promise<PublishResult> {
	const {store, publishId} = options;
	// The root is read before the earlier attempt: if that one takes effect after the check, this one's swap fails.
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

/** The outcome of an earlier run of the same publish; undefined when there was none or it can still be repeated. */
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
		? {kind: 'undecided', publishId, detail: `it attempted version ${version}, which is no longer kept`}
		: undefined));
}

async function prepareAndSwap({options, found}: {readonly options: Attempt; readonly found: RootAndIndex | undefined}): Promise<PublishResult> {
	const {store, set, basedOn, nowMs, repairs = false} = options;
	if (found && basedOn !== undefined && found.root.version !== basedOn) {
		return Right({kind: 'refused', winner: found.root});
	}

	const chunks = splitIntoChunks(set);
	const root = toRoot({options, found, chunks});
	const prepared = await EitherAsync.fromPromise(async () => writeIntent({
		store, root, startedAtMs: nowMs, base: found?.root,
	}))
		.chain(() => readCondemned(store))
		.chain(condemned => EitherAsync.fromPromise(async (): Promise<Either<ReadConfigurationError, number>> => writeChunks({
			store, chunks, condemned, inForce: new Set(repairs ? [] : found?.root.chunks.map(({hash}) => hash)),
		})))
		.chain(() => EitherAsync.fromPromise(async () => archiveRoot({store, found})))
		.run();
	return prepared.caseOf<Promise<PublishResult>>({
		Left: async error => Left(error),
		Right: async () => swapRoot({options, root, expectedIndex: found?.modifyIndex ?? 0}),
	});
}

function toRoot({options, found, chunks}: {readonly options: Attempt; readonly found: RootAndIndex | undefined; readonly chunks: readonly ChunkReference[]}): ConfigurationRoot {
	const {publishId, author, nowMs, restores} = options;
	return {
		version: ((found?.root.version ?? 0) + 1) as ConfigurationVersion, publishId, author, publishedAtMs: nowMs, restores, chunks: chunks.map(({hash, bytes, kind}) => ({hash, bytes, kind})),
	};
}

interface WriteIntentOptions {
	readonly store: KeyValueStore;
	readonly root: ConfigurationRoot;
	/** Newest root; as long as the swap can succeed, its chunks are needed anyway. */
	readonly base: ConfigurationRoot | undefined;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
}

/** Notes what the publish attempts before it relies on any chunk. */
async function writeIntent({store, root, base, startedAtMs}: WriteIntentOptions): Promise<Either<ReadConfigurationError, true>> {
	const {publishId, version, chunks} = root;
	const inBase = new Set(base?.chunks.map(({hash}) => hash));
	const intent: PublishIntent = {
		publishId, version, startedAtMs, hashes: chunks.map(({hash}) => hash).filter(hash => !inBase.has(hash)),
	};
	return ensureValue({
		store, key: `${PUBLISH_PREFIX}${publishId}`, value: encodeJson(intent), replaces: true,
	});
}

function readCondemned(store: KeyValueStore): EitherAsync<ReadConfigurationError, ReadonlySet<string>> {
	return store.get(PENDING_DELETION_KEY)
		.map(found => new Set((found ? decodeJson<readonly Condemnation[]>(found.value) : []).flatMap(({hashes}) => hashes)))
		.mapLeft((error): ReadConfigurationError => error);
}

/** Copies the newest root to its own key before it may be replaced. */
async function archiveRoot({store, found}: {readonly store: KeyValueStore; readonly found: RootAndIndex | undefined}): Promise<Either<ReadConfigurationError, true>> {
	return found
		? ensureValue({
			store, key: versionKey(found.root.version), value: encodeRoot(found.root), replaces: false,
		})
		: Right(true);
}

interface EnsureValueOptions {
	readonly store: KeyValueStore;
	readonly key: string;
	readonly value: Uint8Array;
	/** Whether another value of the key is replaced; otherwise any value will do. */
	readonly replaces: boolean;
}

/** Writes a value that only one publisher, or several with the same value, write. */
async function ensureValue({store, key, value, replaces}: EnsureValueOptions): Promise<Either<ReadConfigurationError, true>> {
	const existing = await store.get(key).run();
	if (existing.isLeft()) {
		return existing;
	}

	const found = existing.unsafeCoerce();
	if (found && !replaces) {
		return Right(true);
	}

	const written = await store.compareAndSwap({key, value, expectedIndex: found?.modifyIndex ?? 0}).run();
	const error = written.swap().toMaybe().extract();
	if (error && error.code !== 'undecided') {
		return Left(error);
	}

	const after = await store.get(key).run();
	return after.mapLeft((failure): ReadConfigurationError => failure).chain(seen => seen
		? Right<true>(true)
		: Left({code: 'undecided', message: `${key}: the write was not seen to take effect`}));
}

interface SwapRootOptions {
	readonly options: Attempt;
	readonly root: ConfigurationRoot;
	/** Index of the root that is replaced. */
	readonly expectedIndex: number;
}

/**
 * Swaps the root and finds out how that ended.
 *
 * The same swap is tried again while the root is unchanged: it can take effect only once, and as long as the
 * root has not moved a lost swap may still be under way, so that "refused" would be a guess.
 */
async function swapRoot({options, root, expectedIndex}: SwapRootOptions): Promise<PublishResult> {
	const {store, pause, triesLeft} = options;
	const {publishId, version} = root;
	let wasSent = false;
	let detail = '';
	for (let tries = 0; tries < MOST_SWAP_TRIES; tries += 1) {
		const swapped = await store.compareAndSwap({key: ROOT_KEY, value: encodeRoot(root), expectedIndex}).run();
		if (swapped.orDefault(false)) {
			return Right({kind: 'accepted', version, publishId});
		}

		const error = swapped.swap().toMaybe().extract();
		wasSent ||= error?.code === 'undecided';
		if (error && error.code !== 'undecided' && !wasSent) {
			return Left(error);
		}

		const winner = await findWinner({store, version, publishId});
		const outcome = winner.toMaybe().extract();
		if (outcome) {
			return Right(outcome);
		}

		if (!error && winner.isRight() && triesLeft > 1) {
			// The index has moved without a new version: a collection fenced this attempt off, for good.
			return attempt({...options, triesLeft: triesLeft - 1});
		}

		detail = error?.message ?? 'the store does not answer a read after the write';
		await pause(RETRY_PAUSE_MS);
	}

	return Right({kind: 'undecided', publishId, detail});
}

interface FindWinnerOptions {
	readonly store: KeyValueStore;
	readonly version: ConfigurationVersion;
	readonly publishId: PublishId;
}

/** The version that took the place which the publish attempted; undefined while nothing has. */
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
