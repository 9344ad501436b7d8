import assert from 'node:assert/strict';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {CHUNK_PREFIX, PUBLISH_PREFIX, ROOT_KEY} from '@pomelopick/config.publishing';
import {
	createSet, HOUR_MS, LONG_PAUSE_MS, PausedCommands,
} from './paused-commands.js';
import type {Meanwhile, PauseCase} from './paused-commands.js';

const anotherPublishes: Meanwhile = async others => others.publish('other');

const publishCases: readonly PauseCase[] = [
	{
		name: 'after its intent is recorded, while another client publishes',
		pauseAt: {moment: 'after', method: 'PUT', prefix: PUBLISH_PREFIX},
		meanwhile: anotherPublishes,
		exitCode: 1,
		output: /refused: version 4 by other was published first/u,
		newest: 'other',
	},
	{
		name: 'before a chunk is written, while another client publishes',
		pauseAt: {moment: 'before', method: 'PUT', prefix: CHUNK_PREFIX},
		meanwhile: anotherPublishes,
		exitCode: 1,
		output: /refused: version 4 by other/u,
		newest: 'other',
	},
	{
		name: 'with the swap of the root under way, while another client publishes',
		pauseAt: {moment: 'before', method: 'PUT', prefix: ROOT_KEY},
		meanwhile: anotherPublishes,
		exitCode: 1,
		output: /refused: version 4 by other/u,
		newest: 'other',
	},
	{
		name: 'with the swap of the root under way, while a collection two hours later considers the publish ended',
		pauseAt: {moment: 'before', method: 'PUT', prefix: ROOT_KEY},
		meanwhile: async others => others.collect(2 * HOUR_MS),
		exitCode: 0,
		output: /accepted as version 4/u,
		newest: 'paused',
	},
	{
		name: 'after the root is swapped, while another client publishes the next version',
		pauseAt: {moment: 'after', method: 'PUT', prefix: ROOT_KEY},
		meanwhile: anotherPublishes,
		exitCode: 0,
		output: /accepted as version 4/u,
		newest: 'other',
	},
	{
		name: 'after the root is swapped, and the response is lost', pauseAt: {moment: 'after', method: 'PUT', prefix: ROOT_KEY}, async meanwhile({platform}) {
			platform.faults.loseNextWriteAnswers = 1;
		}, exitCode: 0, output: /accepted as version 4/u, newest: 'paused',
	},
	{
		name: 'after the root is swapped, and the store becomes unavailable', pauseAt: {moment: 'after', method: 'PUT', prefix: ROOT_KEY}, async meanwhile({platform}) {
			platform.faults.outage = true;
		}, exitCode: 4, output: /undecided: publish the-paused-one: .*run it again with --publish-id the-paused-one/u, newest: 'paused',
	},
];

describe('a publish that is paused by SIGSTOP between two steps', () => {
	let commands: PausedCommands;
	beforeEach(async () => {
		commands = await PausedCommands.start();
	});
	afterEach(async () => {
		await commands.stop();
	});

	const checkPublish = async (testCase: PauseCase): Promise<void> => {
		const file = path.join(commands.directory, 'set.json');
		await writeFile(file, JSON.stringify(createSet('paused')));
		const flags = ['publish', file, '--publish-id', 'the-paused-one'];
		await commands.check({testCase, flags, pauseMs: LONG_PAUSE_MS});
		// Running the publish again returns the same result, or settles an undecided one.
		const again = await commands.run(...flags);
		const isAccepted = testCase.exitCode !== 1;
		assert.match(again.output, isAccepted ? /accepted as version 4/u : testCase.output);
		assert.equal(again.exit, isAccepted ? 0 : 1);
		assert.equal(await commands.readNewest(), testCase.newest);
	};

	for (const testCase of publishCases) {
		it(`publish paused ${testCase.name}`, async () => checkPublish(testCase));
	}
});
