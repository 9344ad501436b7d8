/** Reads the versions and publish intents that are stored in the key-value service. */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {readRoot} from './read.js';
import type {ReadConfigurationError} from './read.js';
import {
	decodeJson, parseRoot, PUBLISH_PREFIX, versionKey,
} from './stored-configuration.js';
import type {ConfigurationRoot, PublishIntent} from './stored-configuration.js';

/** An earlier version and the modify index of its key. */
export interface StoredVersion {
	readonly key: string;
	readonly modifyIndex: number;
	readonly root: ConfigurationRoot;
}

/** A publish intent and the modify index of its key. */
export interface StoredIntent {
	readonly key: string;
	readonly modifyIndex: number;
	readonly intent: PublishIntent;
}

/** Everything in the store that references chunks. */
export interface Inventory {
	readonly newest: ConfigurationRoot | undefined;
	readonly versions: readonly StoredVersion[];
	readonly intents: readonly StoredIntent[];
}

/**
 * Reads the inventory.
 *
 * Publish intents are read first: a publish that completes between the reads is then also found as a version.
 * Versions are read one by one, from the newest down to the first that is missing, because all of them together
 * can be too large for one response of the service.
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

	// Oldest first: if deleting them in this order is interrupted, no gap remains between the versions.
	return Right(versions.reverse());
}
