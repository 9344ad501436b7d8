/** Command line for operators. */
import {Builtins, Cli} from 'clipanion';
import {ConfigCheckCommand} from './commands/config-check.js';
import {ConfigCollectCommand} from './commands/config-collect.js';
import {ConfigDiffCommand} from './commands/config-diff.js';
import {ConfigHistoryCommand} from './commands/config-history.js';
import {ConfigPublishCommand} from './commands/config-publish.js';
import {ConfigRollbackCommand} from './commands/config-rollback.js';
import {ConfigShowCommand} from './commands/config-show.js';
import {DemoCommand} from './commands/demo.js';
import {DrainCommand} from './commands/drain.js';
import {EntryCommand} from './commands/entry.js';
import {EventsCommand} from './commands/events.js';
import {EventsReadCommand} from './commands/events-read.js';
import {ExplainCommand} from './commands/explain.js';
import {ExplainRequestCommand} from './commands/explain-request.js';
import {ShiftCommand} from './commands/shift.js';
import {StatusCommand} from './commands/status.js';
import {UndrainCommand} from './commands/undrain.js';

const commands = [
	ConfigCheckCommand,
	ConfigCollectCommand,
	ConfigDiffCommand,
	ConfigHistoryCommand,
	ConfigPublishCommand,
	ConfigRollbackCommand,
	ConfigShowCommand,
	DemoCommand,
	EntryCommand,
	EventsCommand,
	EventsReadCommand,
	ExplainCommand,
	ExplainRequestCommand,
	StatusCommand,
	DrainCommand,
	ShiftCommand,
	UndrainCommand,
];

/** Creates the command line with all commands registered. */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'pomelopick', binaryName: 'pomelopick', binaryVersion: '0.1.0'});
	for (const command of [...commands, Builtins.HelpCommand, Builtins.VersionCommand]) {
		cli.register(command);
	}

	return cli;
}

export * from './change-set.js';
export * from './fleet-events.js';
export * from './fleet-use.js';
export * from './logs/find-cause.js';
export * from './logs/log-line.js';
export * from './logs/request-analysis.js';
export * from './operator-client.js';
export * from './preview.js';
export * from './publish-change.js';
export * from './usage-error.js';
