/** The operators' command line. */
import {Builtins, Cli} from 'clipanion';
import {ConfigCheckCommand} from './commands/config-check.js';
import {ConfigCollectCommand} from './commands/config-collect.js';
import {ConfigDiffCommand} from './commands/config-diff.js';
import {ConfigHistoryCommand} from './commands/config-history.js';
import {ConfigPublishCommand} from './commands/config-publish.js';
import {ConfigRollbackCommand} from './commands/config-rollback.js';
import {ConfigShowCommand} from './commands/config-show.js';
import {DemoCommand} from './commands/demo.js';
import {EntryCommand} from './commands/entry.js';
import {ExplainCommand} from './commands/explain.js';

const commands = [ConfigCheckCommand, ConfigCollectCommand, ConfigDiffCommand, ConfigHistoryCommand, ConfigPublishCommand, ConfigRollbackCommand, ConfigShowCommand, DemoCommand, EntryCommand, ExplainCommand];

/** Creates the command line with all commands registered. */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'pomelopick', binaryName: 'pomelopick', binaryVersion: '0.1.0'});
	for (const command of [...commands, Builtins.HelpCommand, Builtins.VersionCommand]) {
		cli.register(command);
	}

	return cli;
}
