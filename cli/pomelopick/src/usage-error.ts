/** Explains usage errors: arguments that name a command but do not match its flags. */
import type {Cli} from 'clipanion';

/** Options of {@link describeUsageError}. */
export interface DescribeUsageErrorOptions {
	readonly cli: Cli;
	/** Command-line arguments, without the program. */
	readonly words: readonly string[];
}

/** Returns one line for each unknown or missing flag, then the command's usage; undefined if no command is named or its flags are valid. */
export function describeUsageError({cli, words}: DescribeUsageErrorOptions): string | undefined {
	const command = findCommand({cli, words});
	if (!command) {
		return undefined;
	}

	const flags = words.filter(word => word.startsWith('-')).map(word => word.split('=')[0]!);
	const names = (definition: string): readonly string[] => definition.split(' ')[0]!.split(',');
	const known = new Set(['--help', '-h', ...command.options.flatMap(({definition}) => names(definition))]);
	const unknown = flags.filter(flag => !known.has(flag)).map(flag => `bad-flag: ${flag}: unknown`);
	const missing = command.options
		.filter(({definition, required}) => required && !names(definition).some(name => flags.includes(name)))
		.map(({definition, description = ''}) => `bad-flag: ${definition.split(' ')[0]!}: missing; ${description}`);
	const lines = [...unknown, ...missing];
	return lines.length === 0 ? undefined : `${[...lines, `usage: ${command.usage}`].join('\n')}\n`;
}

/** Returns the command with the longest path that the arguments begin with: `events read` takes precedence over `events`. */
function findCommand({cli, words}: DescribeUsageErrorOptions): ReturnType<Cli['definitions']>[number] | undefined {
	const matching = cli.definitions().filter(({path}) => isPrefix({path: path.split(' ').slice(1), words}));
	return matching.toSorted((left, right) => right.path.length - left.path.length)[0];
}

function isPrefix({path, words}: {readonly path: readonly string[]; readonly words: readonly string[]}): boolean {
	return path.length > 0 && path.every((part, index) => words[index] === part);
}
