/** Base of the commands that read or write the key-value service. */
import {hostname, userInfo} from 'node:os';
import {Option} from 'clipanion';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {readRoot, readSet, readVersion} from '@pomelopick/config.publishing';
import type {PublishedConfiguration, PublishOutcome, ReadConfigurationError} from '@pomelopick/config.publishing';
import type {CodedError, ConfigurationVersion} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {
	exitCodes, parseCount, parseEndpoint, PomelopickCommand,
} from './context.js';
import type {ParseCountOptions} from './context.js';
import {exitCodeOfStoreError, toStoreError} from './read-published.js';

/** A command with `--store`. */
export abstract class StoreCommand extends PomelopickCommand {
	store = Option.String('--store', {required: true, description: 'Key-value service, as IP:PORT'});

	/** Calls `run` with a client of the service and closes the client afterwards; fails if the flag is invalid. */
	protected async withStore(run: (store: KeyValueStore) => Promise<number>): Promise<number> {
		return parseEndpoint({flag: '--store', text: this.store}).caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			async Right(endpoint) {
				const store = new PlatformStore({endpoint});
				const exitCode = await run(store);
				await store.close();
				return exitCode;
			},
		});
	}

	/** Like {@link withStore}, and also parses a flag whose value is a count. */
	protected async withCount(options: ParseCountOptions, run: (store: KeyValueStore, count: number) => Promise<number>): Promise<number> {
		return parseCount(options).caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async count => this.withStore(async store => run(store, count)),
		});
	}

	/** Prints why reading failed and returns the exit code. */
	protected failToRead(failure: ReadConfigurationError): number {
		const error = toStoreError(failure);
		return this.fail({error, exitCode: exitCodeOfStoreError(error)});
	}

	/** Prints the outcome of a publish and returns the exit code. */
	protected reportPublish(outcome: PublishOutcome): number {
		switch (outcome.kind) {
			case 'accepted': {
				this.print({document: outcome, text: `accepted as version ${outcome.version}`});
				return exitCodes.success;
			}

			case 'refused': {
				const {winner} = outcome;
				return this.fail({error: {code: 'refused', message: `version ${winner.version} by ${winner.author} was published first`}, exitCode: exitCodes.refused});
			}

			case 'undecided': {
				const {publishId, detail} = outcome;
				return this.fail({error: {code: 'undecided', message: `publish ${publishId}: ${detail}; run it again with --publish-id ${publishId}`}, exitCode: exitCodes.undecided});
			}
		}
	}
}

/** Returns the author of a publish, as user@host, for the history. */
export function describeAuthor(): string {
	return `${userInfo().username}@${hostname()}`;
}

/** Parses a version given as an argument or a flag; returns undefined if none is given. */
export function parseVersion({flag, text}: {readonly flag: string; readonly text: string | undefined}): Either<CodedError, ConfigurationVersion | undefined> {
	const version = Number(text);
	if (text === undefined) {
		return Right(undefined);
	}

	return Number.isSafeInteger(version) && version > 0
		? Right(version as ConfigurationVersion)
		: Left({code: 'bad-flag', message: `${flag}: expected a version, found ${JSON.stringify(text)}`});
}

/** Reads all objects of a version, or of the newest version if none is given. */
export function readWholeVersion({store, version}: {readonly store: KeyValueStore; readonly version: ConfigurationVersion | undefined}): EitherAsync<ReadConfigurationError, PublishedConfiguration> {
	const root = version === undefined
		? readRoot(store).chain(async found => found ? Right(found.root) : Left<ReadConfigurationError>({code: 'unknown-version', message: 'nothing was published yet'}))
		: readVersion({store, version});
	return EitherAsync.fromPromise(async () => root.run()).chain(found => readSet({store, root: found}));
}
