import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {
	CHUNK_PREFIX, PENDING_DELETION_KEY, VERSION_PREFIX,
} from '@pomelopick/config.publishing';
import {
	HOUR_MS, LONG_PAUSE_MS, PausedCommands, SHORT_PAUSE_MS,
} from './paused-commands.js';
import type {Meanwhile, PauseCase} from './paused-commands.js';

const publishFirstAgain: Meanwhile = async others => others.publish('first');

const collectCases: readonly PauseCase[] = [
	{
		name: 'before a chunk is marked for deletion, while a publish needs it again',
		pauseAt: {moment: 'before', method: 'PUT', prefix: PENDING_DELETION_KEY},
		meanwhile: publishFirstAgain,
		exitCode: 0,
		output: /deleted 1 versions and 0 chunks; spared 1 /u,
		newest: 'first',
	},
	{
		name: 'after a chunk is marked for deletion, while a publish needs it again',
		pauseAt: {moment: 'after', method: 'PUT', prefix: PENDING_DELETION_KEY},
		meanwhile: publishFirstAgain,
		exitCode: 0,
		output: /deleted 1 versions and 0 chunks; spared 1 /u,
		newest: 'first',
	},
	{
		name: 'with a delete under way of a chunk that a publish needs again',
		pauseAt: {moment: 'before', method: 'DELETE', prefix: CHUNK_PREFIX},
		meanwhile: publishFirstAgain,
		exitCode: 0,
		output: /deleted 1 versions and 0 chunks; spared 1 /u,
		newest: 'first',
	},
	{
		name: 'after a chunk is deleted that a publish needs again',
		pauseAt: {moment: 'after', method: 'DELETE', prefix: CHUNK_PREFIX},
		meanwhile: publishFirstAgain,
		exitCode: 0,
		output: /deleted 1 versions and 1 chunks; spared 0 /u,
		newest: 'first',
	},
	{
		name: 'with a delete under way, while a later collection takes over and a publish then needs the chunk again',
		pauseAt: {moment: 'before', method: 'DELETE', prefix: CHUNK_PREFIX},
		async meanwhile(others) {
			await others.collect(2 * HOUR_MS);
			await others.publish('first', 2 * HOUR_MS);
		},
		exitCode: 0,
		output: /deleted 0 versions and 0 chunks; spared 1 /u,
		newest: 'first',
	},
	{
		name: 'with the delete of a version under way that another collection deletes first',
		pauseAt: {moment: 'before', method: 'DELETE', prefix: VERSION_PREFIX},
		meanwhile: async others => others.collect(2 * HOUR_MS),
		exitCode: 0,
		output: /deleted 0 versions and 1 chunks; spared 0 /u,
		newest: 'third',
	},
];

const collectFlags = ['collect', '--keep', '1'];

describe('a collection that is suspended between its steps by SIGSTOP', () => {
	let commands: PausedCommands;
	beforeEach(async () => {
		commands = await PausedCommands.start();
	});
	afterEach(async () => {
		await commands.stop();
	});

	const checkShort = async (testCase: PauseCase): Promise<void> => commands.check({testCase, flags: collectFlags, pauseMs: SHORT_PAUSE_MS});
	const checkUndecided = async (testCase: PauseCase): Promise<void> => {
		await commands.check({testCase: {...testCase, exitCode: 3, output: /store-undecided: /u}, flags: collectFlags, pauseMs: LONG_PAUSE_MS});
		const again = await commands.run(...collectFlags);
		assert.equal(again.exit, 0, again.output);
		assert.equal(await commands.readNewest(), testCase.newest);
	};

	for (const testCase of collectCases) {
		it(`collect ${testCase.name}`, async () => checkShort(testCase));

		it(`collect ${testCase.name}, for so long that its own call is undecided`, async () => checkUndecided(testCase));
	}
});
