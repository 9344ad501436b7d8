import assert from 'node:assert/strict';
import fs from 'node:fs';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createOutputWriter} from '@pomelopick/core.telemetry';

/** Longer than lines wait, in milliseconds. */
const WAIT_MS = 400;

describe('createOutputWriter', () => {
	// Each write wakes a thread of the runtime's pool; instances are at rest most of the time.
	it('writes lines soon, also after a pause and those of the time of a write, and makes no writes while there are none', async context => {
		const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-output-'));
		const file = path.join(directory, 'output');
		const descriptor = fs.openSync(file, 'w');
		const write = context.mock.method(fs, 'write');
		const output = createOutputWriter({descriptor});
		const expected: string[] = [];
		for (const line of ['first\n', 'second\n']) {
			expected.push(line);
			output.write(line);
			await sleep(WAIT_MS);
			assert.equal(await readFile(file, 'utf8'), expected.join(''));
		}

		write.mock.mockImplementationOnce(((...parts: Parameters<typeof fs.write>) => {
			output.write('meanwhile\n');
			setTimeout(() => {
				fs.write(...parts);
			}, WAIT_MS);
		}) as typeof fs.write);
		output.write('delayed\n');
		await sleep(3 * WAIT_MS);
		assert.equal(await readFile(file, 'utf8'), [...expected, 'delayed\n', 'meanwhile\n'].join(''));
		await sleep(WAIT_MS);
		const written = write.mock.callCount();
		await sleep(2 * WAIT_MS);
		assert.equal(write.mock.callCount(), written);
		fs.closeSync(descriptor);
		await rm(directory, {recursive: true});
	});
});
