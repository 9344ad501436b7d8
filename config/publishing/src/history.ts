/** Lists earlier versions and restores one of them by publishing its content again. */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {publishConfiguration} from './publish.js';
import type {PublishOutcome} from './publish.js';
import {readRoot, readSet, readVersion} from './read.js';
import type {ReadConfigurationError} from './read.js';
import type {ConfigurationRoot} from './stored-configuration.js';

/** Options of {@link listHistory}. */
export interface ListHistoryOptions {
	readonly store: KeyValueStore;
	/** Maximum number of versions to list. */
	readonly limit: number;
}

/** Lists the retained versions, newest first. */
export function listHistory({store, limit}: ListHistoryOptions): EitherAsync<ReadConfigurationError, readonly ConfigurationRoot[]> {
	return EitherAsync.fromPromise(async () => {
		const newest = await readRoot(store).run();
		if (newest.isLeft()) {
			return newest;
		}

		const roots: ConfigurationRoot[] = [];
		const found = newest.unsafeCoerce();
		if (found) {
			roots.push(found.root);
		}

		for (let version = (found?.root.version ?? 0) - 1; version > 0 && roots.length < limit; version -= 1) {
			const root = await readVersion({store, version}).run();
			const error = root.swap().toMaybe().extract();
			if (error?.code === 'unknown-version') {
				break;
			}

			if (error) {
				return Left(error);
			}

			roots.push(root.unsafeCoerce());
		}

		return Right(roots);
	});
}

/** Options of {@link restoreVersion}. */
export interface RestoreVersionOptions {
	readonly store: KeyValueStore;
	/** Version whose content is published again. */
	readonly version: ConfigurationVersion;
	readonly author: string;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly nowMs: number;
	/** Version that must still be the newest one; if absent, the content replaces whichever version is the newest. */
	readonly basedOn?: ConfigurationVersion;
	readonly publishId?: PublishId;
}

/** Publishes the content of an earlier version as a new version with a higher number. */
export function restoreVersion({store, version, author, nowMs, basedOn, publishId}: RestoreVersionOptions): EitherAsync<ReadConfigurationError, PublishOutcome> {
	return readVersion({store, version})
		.chain(root => readSet({store, root}))
		.chain(({set}) => publishConfiguration({
			store, set, author, nowMs, basedOn, publishId, restores: version,
		}));
}
