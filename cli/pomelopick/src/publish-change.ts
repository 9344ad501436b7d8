/** Reads the published set, applies a change, checks the result and publishes it, based on the version that was read. */
import {hostname, userInfo} from 'node:os';
import {
	EitherAsync, Left, Right,
} from 'purify-ts';
import type {Either} from 'purify-ts';
import {publishConfiguration} from '@pomelopick/config.publishing';
import type {PublishedConfiguration, PublishOutcome} from '@pomelopick/config.publishing';
import {checkConfigurationSet, formatFault} from '@pomelopick/config.schema';
import type {CodedError, ConfigurationSet} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import type {ChangeSet} from './change-set.js';
import {readNewest, toStoreError} from './read-published.js';

/** A checked change, with the version that it is based on. */
export interface PreparedChange {
	readonly published: PublishedConfiguration;
	readonly changed: ConfigurationSet;
}

/** Options of {@link prepareChange}. */
export interface PrepareChangeOptions {
	readonly store: KeyValueStore;
	readonly change: ChangeSet;
}

/** Applies a change to the newest version and checks it. Left `store-…` if the store is unavailable, `nothing-published`, or the reason why the change is refused. */
export function prepareChange({store, change}: PrepareChangeOptions): EitherAsync<CodedError, PreparedChange> {
	return readNewest(store).chain(published => EitherAsync.liftEither(change(published.set)
		.chain(changed => checkChanged(changed))
		.map(changed => ({published, changed}))));
}

/** Publishes a prepared change; refused if another version was published in the meantime. */
export function publishChange({store, prepared: {published, changed}}: {readonly store: KeyValueStore; readonly prepared: PreparedChange}): EitherAsync<CodedError, PublishOutcome> {
	return publishConfiguration({
		store, set: changed, basedOn: published.root.version, author: `${userInfo().username}@${hostname()}`, nowMs: Date.now(),
	}).mapLeft(error => toStoreError(error));
}

function checkChanged(changed: ConfigurationSet): Either<CodedError, ConfigurationSet> {
	return checkConfigurationSet(changed).mapLeft((faults): CodedError => ({
		code: 'bad-configuration', message: `the change gives ${faults.length} fault(s)\n${faults.map(fault => `  ${formatFault(fault)}`).join('\n')}`,
	}));
}
