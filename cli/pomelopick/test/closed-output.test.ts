import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	after, before, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';

const MAIN = fileURLToPath(new URL('../lib/main.js', import.meta.url));
/** More lines than fit in the buffer of a pipe. */
const LINES = 5000;
const CLOSED_OUTPUT_EXIT_CODE = 141;

describe('a command whose output is closed by its reader', () => {
	let directory: string;
	let file: string;
	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-closed-'));
		file = path.join(directory, 'gateway.log');
		const lines = Array.from({length: LINES}, (_, number) => JSON.stringify({
			time: new Date(number).toISOString(), event: 'server-changed', instance: 'gateway-1', subject: `server-${number}`, detail: 'ready',
		}));
		await writeFile(file, `${lines.join('\n')}\n`);
	});
	after(async () => {
		await rm(directory, {recursive: true});
	});

	const formats: ReadonlyArray<{name: string; flags: readonly string[]}> = [
		{name: 'text', flags: []},
		{name: 'JSON documents', flags: ['--json']},
	];
	const readFirst = async (flags: readonly string[]): Promise<void> => {
		const child = spawn(process.execPath, [MAIN, 'events', 'read', '--last', String(LINES), ...flags, file], {stdio: ['ignore', 'pipe', 'pipe']});
		const exited = once(child, 'exit');
		const errors = text(child.stderr);
		await once(child.stdout, 'data');
		child.stdout.destroy();
		assert.deepEqual(await exited, [CLOSED_OUTPUT_EXIT_CODE, null]);
		assert.equal(await errors, '');
	};

	for (const {name, flags} of formats) {
		it(`ends without an error message while it prints ${name}`, async () => readFirst(flags));
	}
});
