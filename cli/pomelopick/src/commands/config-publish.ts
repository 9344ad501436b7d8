import {Command, Option} from 'clipanion';
import {Right} from 'purify-ts';
import {publishConfiguration} from '@pomelopick/config.publishing';
import type {ConfigurationSet, ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import {exitCodes} from '../context.js';
import {readConfigurationFile} from '../read-configuration-file.js';
import {describeAuthor, parseVersion, StoreCommand} from '../store-command.js';

/** `pomelopick config publish FILE`: checks a set and publishes it as the next version. */
export class ConfigPublishCommand extends StoreCommand {
	static override paths = [['config', 'publish']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Publish a configuration set',
		details: `
			Checks the whole set, then publishes it as the next version. With --based-on, it is refused if another version was
			published since. To retry an undecided publish, run it again with its --publish-id; it takes effect at most once.
		`,
		examples: [['Publish a file', '$0 config publish set.json --store 10.0.0.5:8500'], ['Refuse to overwrite newer work', '$0 config publish set.json --store 10.0.0.5:8500 --based-on 41']],
	});

	file = Option.String({name: 'FILE'});
	basedOn = Option.String('--based-on', {description: 'Version that the file was edited from'});
	publishId = Option.String('--publish-id', {description: 'Identifier of an undecided attempt that is run again'});

	repair = Option.Boolean('--repair', false, {description: 'Read all chunks in the store and write damaged ones again'});

	async execute(): Promise<number> {
		const basedOn = parseVersion({flag: '--based-on', text: this.basedOn});
		const read = await readConfigurationFile(this.file).run();
		const checked = basedOn.chain(version => read.chain(set => Right({set, basedOn: version})));
		return checked.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: error.code === 'bad-configuration' ? exitCodes.refused : exitCodes.usage}),
			Right: async options => this.#publish(options),
		});
	}

	async #publish({set, basedOn}: {readonly set: ConfigurationSet; readonly basedOn: ConfigurationVersion | undefined}): Promise<number> {
		return this.withStore(async store => {
			const published = await publishConfiguration({
				store, set, basedOn, author: describeAuthor(), nowMs: Date.now(), publishId: this.publishId as PublishId | undefined, repairsDamagedChunks: this.repair,
			}).run();
			return published.caseOf({Left: error => this.failToRead(error), Right: outcome => this.reportPublish(outcome)});
		});
	}
}
