/** Reads the published set, changes it, checks it and publishes it on top of the version that was read. */
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

/** A checked change of the version that was read. */
export interface PreparedChange {
	readonly published: PublishedConfiguration;
	readonly changed: ConfigurationSet;
}

/** Options of {@link prepareChange}. */
export interface PrepareChangeOptions {
	readonly store: KeyValueStore;
	readonly change: ChangeSet;
}

/** Left `store-…` when the store does not answer, `nothing-published`, or why the change is refused. */
export function prepareChange({store, change}: PrepareChangeOptions): EitherAsync<CodedError, PreparedChange> {
	return readNewest(store).chain(published => EitherAsync.liftEither(change(published.set)
		.chain(changed => checkChanged(changed))
		.map(changed => ({published, changed}))));
}

/** Publishes a prepared change; refused when another version was published since. */
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
