/** What the key-value service holds besides chunks: versions and publishes under way. */
import type {Either} from 'purify-ts';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {readRoot} from './read.js';
import type {ReadConfigurationError} from './read.js';
import {
	decodeJson, parseRoot, PUBLISH_PREFIX, VERSION_PREFIX,
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

/** Reads publishes first: one that ends between the reads is found again among the versions. */
export async function readInventory(store: KeyValueStore): Promise<Either<ReadConfigurationError, Inventory>> {
	const intents = await store.list(PUBLISH_PREFIX).run();
	const newest = await readRoot(store).run();
	const versions = await store.list(VERSION_PREFIX).run();
	const failure = (error: ReadConfigurationError): ReadConfigurationError => error;
	return intents.mapLeft(failure).chain(storedIntents => newest.chain(root => versions.mapLeft(failure).map(storedVersions => ({
		newest: root?.root,
		intents: storedIntents.map(({key, modifyIndex, value}) => ({key, modifyIndex, intent: decodeJson<PublishIntent>(value)})),
		versions: storedVersions.flatMap(stored => toStoredVersion(stored)),
	}))));
}

function toStoredVersion({key, modifyIndex, value}: {readonly key: string; readonly modifyIndex: number; readonly value: Uint8Array}): StoredVersion[] {
	return parseRoot(value).map(root => [{key, modifyIndex, root}]).orDefault([]);
}
