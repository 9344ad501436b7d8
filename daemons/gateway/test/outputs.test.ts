import assert from 'node:assert/strict';
import {execFile, spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
	closeSync, constants, openSync,
} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	after, afterEach, before, beforeEach, describe, it,
} from 'node:test';
import {promisify} from 'node:util';
import {
	callGateway, endpointOf, isReady, startGatewayFleet, until,
} from '@pomelopick/testing.gateway-fleet';
import type {GatewayFleet} from '@pomelopick/testing.gateway-fleet';
import type {GatewaySettingsInput} from '@pomelopick/config.settings';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

const MAIN = path.join(REPOSITORY_ROOT, 'daemons/gateway/lib/main.js');
/** Requests whose log lines fill a pipe many times over. */
const ROUNDS = 40;
const REQUESTS_AT_ONCE = 20;

/** An output of the process. */
interface Output {
	/** Descriptor that the process inherits. */
	readonly descriptor: number;
	/** Called once the process is ready. */
	readonly onReady: () => void;
	readonly close: () => void;
}

/** A pipe that nobody reads; its reader goes away once the process is ready if that is asked for. */
async function openPipe({directory, readerLeaves}: {readonly directory: string; readonly readerLeaves: boolean}): Promise<Output> {
	const file = path.join(directory, `pipe-${Math.random()}`);
	await promisify(execFile)('mkfifo', [file]);
	// eslint-disable-next-line no-bitwise
	const reader = openSync(file, constants.O_RDONLY | constants.O_NONBLOCK);
	const descriptor = openSync(file, 'w');
	let isOpen = true;
	const leave = (): void => {
		if (isOpen) {
			isOpen = false;
			closeSync(reader);
		}
	};

	return {
		descriptor, onReady() {
			if (readerLeaves) {
				leave();
			}
		}, close: leave,
	};
}

function openFull(): Output {
	return {descriptor: openSync('/dev/full', 'w'), onReady() {/* Nothing changes. */}, close() {/* Nothing to close. */}};
}

interface OutputCase {
	readonly name: string;
	readonly open: (directory: string) => Promise<Output>;
}

const cases: readonly OutputCase[] = [
	{name: 'a pipe that nobody reads', open: async directory => openPipe({directory, readerLeaves: false})},
	{name: 'a pipe whose reader goes away', open: async directory => openPipe({directory, readerLeaves: true})},
	{name: 'a device that is full', open: async () => openFull()},
];

describe('a gateway process whose standard output and standard error cannot be written', () => {
	let directory: string;
	let fleet: GatewayFleet;
	let settings: GatewaySettingsInput;
	let settingsPath: string;
	let child: ChildProcess;
	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-outputs-'));
	});
	after(async () => {
		await rm(directory, {recursive: true});
	});
	beforeEach(async () => {
		fleet = await startGatewayFleet();
		settings = await fleet.settings();
		settingsPath = path.join(directory, 'settings.json');
		await writeFile(settingsPath, JSON.stringify(settings));
	});
	afterEach(async () => {
		child.kill('SIGKILL');
		await fleet.stop();
	});

	const serveMuch = async (): Promise<ReadonlySet<number>> => {
		const statuses = new Set<number>();
		const endpoint = endpointOf(settings.listen.callers);
		for (let round = 0; round < ROUNDS; round += 1) {
			const responses = await Promise.all(Array.from({length: REQUESTS_AT_ONCE}, async (_, index) => callGateway({
				endpoint, object: 'o'.repeat(400) + String(index),
			})));
			for (const {status} of responses) {
				statuses.add(status);
			}
		}

		return statuses;
	};

	/** Serves many requests and a reload of bad settings, which is reported on standard error, and stops. */
	const check = async (onReady?: () => void): Promise<void> => {
		await until(async () => isReady(settings));
		onReady?.();
		assert.deepEqual([...await serveMuch()], [200]);
		await writeFile(settingsPath, '{');
		child.kill('SIGHUP');
		assert.deepEqual([...await serveMuch()], [200]);
		child.kill('SIGTERM');
		await until(() => child.exitCode !== null || child.signalCode !== null);
		assert.equal(child.exitCode, 0);
	};

	const checkCase = async ({open}: OutputCase): Promise<void> => {
		const output = await open(directory);
		child = spawn(process.execPath, [MAIN, settingsPath], {stdio: ['ignore', output.descriptor, output.descriptor], env: {PATH: process.env.PATH}});
		closeSync(output.descriptor);
		await check(output.onReady);
		output.close();
	};

	for (const outputCase of cases) {
		it(`serves and stops with ${outputCase.name}`, async () => checkCase(outputCase));
	}

	it('serves and stops with both closed', async () => {
		child = spawn('/bin/sh', ['-c', `exec "${process.execPath}" "${MAIN}" "${settingsPath}" >&- 2>&-`], {stdio: 'ignore', env: {PATH: process.env.PATH}});
		await check();
	});

	it('serves and stops with sockets that nobody reads', async () => {
		child = spawn(process.execPath, [MAIN, settingsPath], {stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH}});
		await check();
	});
});
