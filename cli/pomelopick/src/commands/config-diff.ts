import {Command, Option} from 'clipanion';
import {Right} from 'purify-ts';
import {compareSets} from '@pomelopick/config.publishing';
import type {ObjectDifference} from '@pomelopick/config.publishing';
import type {ConfigurationVersion} from '@pomelopick/core.types';
import {exitCodes} from '../context.js';
import {parseVersion, readWholeVersion, StoreCommand} from '../store-command.js';

/** `pomelopick config diff FROM [TO]`: lists the objects that differ between two versions. */
export class ConfigDiffCommand extends StoreCommand {
	static override paths = [['config', 'diff']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Compare two versions',
		details: 'Lists the objects that were added, removed or changed from one version to another, or to the newest if only one is named.',
		examples: [['What changed since version 41', '$0 config diff 41 --store 10.0.0.5:8500'], ['Between two versions', '$0 config diff 41 43 --store 10.0.0.5:8500']],
	});

	from = Option.String({name: 'FROM'});
	to = Option.String({name: 'TO', required: false});

	async execute(): Promise<number> {
		const versions = parseVersion({flag: 'FROM', text: this.from}).chain(from => parseVersion({flag: 'TO', text: this.to}).chain(to => Right({from, to})));
		return versions.caseOf<Promise<number>>({
			Left: async error => this.fail({error, exitCode: exitCodes.usage}),
			Right: async chosen => this.#compare(chosen),
		});
	}

	async #compare({from, to}: {readonly from: ConfigurationVersion | undefined; readonly to: ConfigurationVersion | undefined}): Promise<number> {
		return this.withStore(async store => {
			const both = await readWholeVersion({store, version: from}).chain(before => readWholeVersion({store, version: to}).map(after => ({before, after}))).run();
			return both.caseOf({
				Left: error => this.failToRead(error),
				Right: ({before, after}) => {
					const differences = compareSets({before: before.set, after: after.set});
					this.print({
						document: {from: before.root.version, to: after.root.version, differences},
						text: differences.map(difference => describeDifference(difference)).join('\n') || `versions ${before.root.version} and ${after.root.version} have the same content`,
					});
					return exitCodes.success;
				},
			});
		});
	}
}

function describeDifference({kind, name, change, before, after}: ObjectDifference): string {
	const sign = {added: '+', removed: '-', changed: '~'}[change];
	const details = change === 'changed' ? `${JSON.stringify(before)} => ${JSON.stringify(after)}` : JSON.stringify(after ?? before);
	return `${sign} ${kind} ${name}  ${details}`;
}
