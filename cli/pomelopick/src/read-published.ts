/** Reads what is published, with errors as the commands print them. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {readRoot, readSet} from '@pomelopick/config.publishing';
import type {PublishedConfiguration, ReadConfigurationError} from '@pomelopick/config.publishing';
import type {CodedError} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {exitCodes} from './context.js';

const UNAVAILABLE_CODES: ReadonlySet<string> = new Set(['unavailable', 'rate-limited', 'undecided']);
const STORE_PREFIX = 'store-';

/** Marks errors of a store that gave no usable answer with `store-`; what was read and found wrong keeps its code. */
export function toStoreError({code, message}: ReadConfigurationError): CodedError {
	return {code: UNAVAILABLE_CODES.has(code) ? `${STORE_PREFIX}${code}` : code, message};
}

/** Exit code of an error of {@link toStoreError}. */
export function exitCodeOfStoreError({code}: CodedError): number {
	return code.startsWith(STORE_PREFIX) ? exitCodes.unavailable : exitCodes.refused;
}

/** Reads the newest version. Left `nothing-published`, or an error of {@link toStoreError}. */
export function readNewest(store: KeyValueStore): EitherAsync<CodedError, PublishedConfiguration> {
	return readRoot(store).mapLeft(error => toStoreError(error))
		.chain(found => EitherAsync.liftEither(found
			? Right(found.root)
			: Left<CodedError>({code: 'nothing-published', message: 'no configuration was published yet'})))
		.chain(root => readSet({store, root}).mapLeft(error => toStoreError(error)));
}
