/** Reads the published configuration, with errors as the commands print them. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {readRoot, readSet} from '@pomelopick/config.publishing';
import type {PublishedConfiguration, ReadConfigurationError} from '@pomelopick/config.publishing';
import type {CodedError} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {exitCodes} from './context.js';

const UNAVAILABLE_CODES: ReadonlySet<string> = new Set(['unavailable', 'rate-limited', 'undecided']);
const STORE_PREFIX = 'store-';

/** Adds the prefix `store-` to error codes that mean that the store gave no usable response; errors in the stored data keep their code. */
export function toStoreError({code, message}: ReadConfigurationError): CodedError {
	return {code: UNAVAILABLE_CODES.has(code) ? `${STORE_PREFIX}${code}` : code, message};
}

/** Returns the exit code for an error from {@link toStoreError}. */
export function exitCodeOfStoreError({code}: CodedError): number {
	return code.startsWith(STORE_PREFIX) ? exitCodes.unavailable : exitCodes.refused;
}

/** Reads the newest version. Left `nothing-published`, or an error from {@link toStoreError}. */
export function readNewest(store: KeyValueStore): EitherAsync<CodedError, PublishedConfiguration> {
	return readRoot(store).mapLeft(error => toStoreError(error))
		.chain(found => EitherAsync.liftEither(found
			? Right(found.root)
			: Left<CodedError>({code: 'nothing-published', message: 'no configuration was published yet'})))
		.chain(root => readSet({store, root}).mapLeft(error => toStoreError(error)));
}
