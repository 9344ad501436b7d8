import {Command, Option} from 'clipanion';
import {Right} from 'purify-ts';
import {restoreVersion} from '@pomelopick/config.publishing';
import type {ConfigurationVersion, PublishId} from '@pomelopick/core.types';
import {exitCodes} from '../context.js';
import {describeAuthor, parseVersion, StoreCommand} from '../store-command.js';

/** `pomelopick config rollback VERSION`: publishes the content of an earlier version as a new, higher one. */
export class ConfigRollbackCommand extends StoreCommand {
	static override paths = [['config', 'rollback']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Go back to an earlier version',
		details: 'Publishes the content of an earlier version as a new, higher version; version numbers never decrease. With --based-on, it is refused if another version was published since.',
		examples: [['Go back to version 41', '$0 config rollback 41 --store 10.0.0.5:8500']],
	});

	version = Option.String({name: 'VERSION'});
	basedOn = Option.String('--based-on', {description: 'Version that must still be the newest'});
	publishId = Option.String('--publish-id', {description: 'Identifier of an undecided attempt that is run again'});

	async execute(): Promise<number> {
		const versions = parseVersion({flag: 'VERSION', text: this.version})
			.chain(version => parseVersion({flag: '--based-on', text: this.basedOn}).chain(basedOn => Right({version: version!, basedOn})));
		return versions.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async chosen => this.#restore(chosen),
		});
	}

	async #restore({version, basedOn}: {readonly version: ConfigurationVersion; readonly basedOn: ConfigurationVersion | undefined}): Promise<number> {
		return this.withStore(async store => {
			const restored = await restoreVersion({
				store, version, basedOn, author: describeAuthor(), nowMs: Date.now(), publishId: this.publishId as PublishId | undefined,
			}).run();
			return restored.caseOf({Left: error => this.failToRead(error), Right: outcome => this.reportPublish(outcome)});
		});
	}
}
