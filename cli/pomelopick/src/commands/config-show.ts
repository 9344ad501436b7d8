import {Command} from 'clipanion';
import {exitCodes} from '../context.js';
import {exitCodeOfStoreError, readNewest} from '../read-published.js';
import {StoreCommand} from '../store-command.js';

/** `pomelopick config show`: prints the published set. */
export class ConfigShowCommand extends StoreCommand {
	static override paths = [['config', 'show']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the published configuration',
		details: 'Prints the newest published set, as a file that can be edited and published again.',
		examples: [['Show the set', '$0 config show --store 10.0.0.5:8500']],
	});

	async execute(): Promise<number> {
		return this.withStore(async store => {
			const published = await readNewest(store).run();
			return published.caseOf({
				Left: error => this.fail({error, exitCode: exitCodeOfStoreError(error)}),
				Right: ({root, set}) => {
					const {chunks: _, ...version} = root;
					this.print({document: {...version, set}, text: JSON.stringify(set, undefined, '\t')});
					return exitCodes.success;
				},
			});
		});
	}
}
