/** What the key-value service holds besides chunks: versions and publishes under way. */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {readRoot} from './read.js';
import type {ReadConfigurationError} from './read.js';
import {
	decodeJson, parseRoot, PUBLISH_PREFIX, versionKey,
} from './stored-configuration.js';
import type {ConfigurationRoot, PublishIntent} from './stored-configuration.js';

/** An earlier version and the index of its key. */
export interface StoredVersion {
	readonly key: string;
	readonly modifyIndex: number;
	readonly root: ConfigurationRoot;
}

/** A publish and the index of its key. */
export interface StoredIntent {
	readonly key: string;
	readonly modifyIndex: number;
	readonly intent: PublishIntent;
}

/** All that names chunks. */
export interface Inventory {
	readonly newest: ConfigurationRoot | undefined;
	readonly versions: readonly StoredVersion[];
	readonly intents: readonly StoredIntent[];
}

/**
 * Reads publishes first: one that ends between the reads is found again among the versions.
 *
 * Versions are read one by one, from the newest down to the first that is missing: together they can be
 * larger than one answer of the service should be.
 */
export async function readInventory(store: KeyValueStore): Promise<Either<ReadConfigurationError, Inventory>> {
	const intents = await store.list(PUBLISH_PREFIX).run();
	const newest = await readRoot(store).run();
	const versions = await readVersions({store, below: newest.map(found => Number(found?.root.version ?? 0)).orDefault(0)});
	const failure = (error: ReadConfigurationError): ReadConfigurationError => error;
	return intents.mapLeft(failure).chain(storedIntents => newest.chain(root => versions.map(storedVersions => ({
		newest: root?.root,
		intents: storedIntents.map(({key, modifyIndex, value}) => ({key, modifyIndex, intent: decodeJson<PublishIntent>(value)})),
		versions: storedVersions,
	}))));
}

async function readVersions({store, below}: {readonly store: KeyValueStore; readonly below: number}): Promise<Either<ReadConfigurationError, readonly StoredVersion[]>> {
	const versions: StoredVersion[] = [];
	for (let version = below - 1; version > 0; version -= 1) {
		const key = versionKey(version);
		const read = await store.get(key).run();
		if (read.isLeft()) {
			return read;
		}

		const found = read.unsafeCoerce();
		if (!found) {
			break;
		}

		versions.push(...parseRoot(found.value).map(root => [{key, modifyIndex: found.modifyIndex, root}]).orDefault([]));
	}

	// The oldest first: deletes that stop half-way leave no gap.
	return Right(versions.reverse());
}
