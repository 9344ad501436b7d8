import {Command, Option} from 'clipanion';
import {exitCodes, PomelopickCommand} from '../context.js';
import {readConfigurationFile} from '../read-configuration-file.js';

/** `pomelopick config check FILE`: checks a set and reports every fault. */
export class ConfigCheckCommand extends PomelopickCommand {
	static override paths = [['config', 'check']];
	static override usage = Command.Usage({
		category: 'Configuration',
		description: 'Check a configuration set',
		details: 'Checks the shape, the references and the rules of the whole set and reports all faults together.',
		examples: [['Check a file', '$0 config check set.json']],
	});

	file = Option.String({name: 'FILE'});

	async execute(): Promise<number> {
		const read = await readConfigurationFile(this.file).run();
		return read.caseOf({
			Left: error => this.fail({error, exitCode: error.code === 'unreadable-file' ? exitCodes.usage : exitCodes.refused}),
			Right: set => {
				const counts = Object.fromEntries(Object.entries(set).map(([kind, objects]) => [kind, (objects as unknown[]).length]));
				this.print({document: {valid: true, counts}, text: `valid: ${Object.entries(counts).map(([kind, count]) => `${count} ${kind}`).join(', ')}`});
				return exitCodes.success;
			},
		});
	}
}
