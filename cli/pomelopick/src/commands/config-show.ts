import {Command, Option} from 'clipanion';
import {EitherAsync, Left, Right} from 'purify-ts';
import {readRoot, readSet} from '@pomelopick/config.publishing';
import type {PublishedConfiguration} from '@pomelopick/config.publishing';
import type {CodedError, Endpoint} from '@pomelopick/core.types';
import {ConsulStore} from '@pomelopick/platform.store';
import {exitCodes, parseEndpoint, PomelopickCommand} from '../context.js';

/** `pomelopick config show`: prints the published set. */
export class ConfigShowCommand extends PomelopickCommand {
	static override paths = [['config', 'show']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the published configuration',
		details: 'Prints the newest published set, as a file that can be edited and published again.',
		examples: [['Show the set', '$0 config show --store 10.0.0.5:8500']],
	});

	store = Option.String('--store', {required: true, description: 'Key-value service, as IP:PORT'});

	async execute(): Promise<number> {
		const endpoint = parseEndpoint({flag: '--store', text: this.store});
		return endpoint.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async store => this.#show(store),
		});
	}

	async #show(endpoint: Endpoint): Promise<number> {
		const published = await readPublished(endpoint).run();
		return published.caseOf({
			Left: error => this.fail({error, exitCode: error.code === 'nothing-published' ? exitCodes.refused : exitCodes.unavailable}),
			Right: ({root, set}) => {
				const {chunks: _, ...version} = root;
				this.print({document: {...version, set}, text: JSON.stringify(set, undefined, '\t')});
				return exitCodes.success;
			},
		});
	}
}

function readPublished(endpoint: Endpoint): EitherAsync<CodedError, PublishedConfiguration> {
	const store = new ConsulStore({endpoint});
	return EitherAsync.fromPromise(async () => {
		const root = await readRoot(store).run();
		const found = root.mapLeft((error): CodedError => ({code: `store-${error.code}`, message: error.message}))
			.chain(current => current ? Right(current.root) : Left<CodedError>({code: 'nothing-published', message: 'no configuration was published yet'}));
		const read = await EitherAsync.liftEither(found).chain(current => readSet({store, root: current}).mapLeft((error): CodedError => error)).run();
		await store.close();
		return read;
	});
}
