import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {createCli, describeUsageError} from '@pomelopick/cli.pomelopick';

const FOLDER = new URL('../../../docs/operations/', import.meta.url);
/** Matches a command in an indented code block or in a code span. */
const COMMAND = /(?:^ {4,}(?:\$ )?|`)pomelopick (?<words>[^`\n]+)/gmu;

function listCommands(page: string): readonly string[] {
	return [...readFileSync(new URL(page, FOLDER), 'utf8').matchAll(COMMAND)].map(({groups}) => groups!.words!.trim());
}

describe('operators\' pages', () => {
	const cli = createCli();
	const paths = cli.definitions().map(({path}) => path.split(' ').slice(1).join(' '));
	const pages = readdirSync(FOLDER).filter(page => page.endsWith('.md'));
	for (const page of pages) {
		it(`${page} names only commands and flags that exist`, () => {
			const commands = listCommands(page);
			assert.deepEqual(commands.filter(command => !paths.some(path => command === path || command.startsWith(`${path} `))), []);
			const unknown = commands.flatMap(command => (describeUsageError({cli, words: command.split(/\s+/u)}) ?? '').split('\n').filter(line => line.endsWith(': unknown')));
			assert.deepEqual(unknown, []);
		});
	}

	it('name each command that has a category', () => {
		const named = pages.flatMap(page => listCommands(page));
		const expected = cli.definitions().filter(({category}) => category !== undefined).map(({path}) => path.split(' ').slice(1).join(' '));
		assert.deepEqual(expected.filter(path => !named.some(command => command.startsWith(path))), []);
	});
});
