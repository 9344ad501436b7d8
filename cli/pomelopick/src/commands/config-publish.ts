import {hostname, userInfo} from 'node:os';
import {Command, Option} from 'clipanion';
import {publishConfiguration} from '@pomelopick/config.publishing';
import type {PublishOutcome} from '@pomelopick/config.publishing';
import type {ConfigurationSet, ConfigurationVersion, Endpoint} from '@pomelopick/core.types';
import {ConsulStore} from '@pomelopick/platform.store';
import {exitCodes, parseEndpoint, PomelopickCommand} from '../context.js';
import {readConfigurationFile} from '../read-set.js';

/** `pomelopick config publish FILE`: checks a set and publishes it as the next version. */
export class ConfigPublishCommand extends PomelopickCommand {
	static override paths = [['config', 'publish']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Publish a configuration set',
		details: 'Checks the whole set, then publishes it as the next version. With --based-on, it is refused when another version was published since.',
		examples: [['Publish a file', '$0 config publish set.json --store 10.0.0.5:8500'], ['Refuse to overwrite newer work', '$0 config publish set.json --store 10.0.0.5:8500 --based-on 41']],
	});

	file = Option.String({name: 'FILE'});
	store = Option.String('--store', {required: true, description: 'Key-value service, as IP:PORT'});
	basedOn = Option.String('--based-on', {description: 'Version that the file was edited from'});

	async execute(): Promise<number> {
		const endpoint = parseEndpoint({flag: '--store', text: this.store});
		const basedOn = this.basedOn === undefined ? undefined : Number(this.basedOn);
		if (basedOn !== undefined && !(Number.isSafeInteger(basedOn) && basedOn > 0)) {
			return this.fail({error: {code: 'bad-flag', message: `--based-on: expected a version, found ${JSON.stringify(this.basedOn)}`}, exitCode: exitCodes.usage});
		}

		const read = await readConfigurationFile(this.file).run();
		const checked = endpoint.chain(store => read.map(set => ({store, set})));
		return checked.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: error.code === 'bad-configuration' ? exitCodes.refused : exitCodes.usage}),
			Right: async ({store, set}) => this.#publish({endpoint: store, set, basedOn: basedOn as ConfigurationVersion | undefined}),
		});
	}

	async #publish({endpoint, set, basedOn}: {readonly endpoint: Endpoint; readonly set: ConfigurationSet; readonly basedOn: ConfigurationVersion | undefined}): Promise<number> {
		const store = new ConsulStore({endpoint});
		const published = await publishConfiguration({
			store, set, basedOn, author: `${userInfo().username}@${hostname()}`, nowMs: Date.now(),
		}).run();
		await store.close();
		return published.caseOf({
			Left: error => this.fail({error: {code: `store-${error.code}`, message: error.message}, exitCode: exitCodes.unavailable}),
			Right: outcome => this.#report(outcome),
		});
	}

	#report(outcome: PublishOutcome): number {
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
				return this.fail({error: {code: 'undecided', message: `publish ${outcome.publishId}: ${outcome.detail}`}, exitCode: exitCodes.undecided});
			}
		}
	}
}
