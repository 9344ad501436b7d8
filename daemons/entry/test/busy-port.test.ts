import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

const MAIN = path.join(REPOSITORY_ROOT, 'daemons/entry/lib/main.js');
const HELD_MS = 1000;
const any = {address: '127.0.0.1', port: 0};

describe('an entry instance that starts while a port is in use', () => {
	let platform: PlatformStandIn;
	let directory: string;
	let holder: Server;
	let child: ChildProcess;
	let exited: Promise<unknown>;
	let output = '';
	let errors = '';
	const start = async (listener: string): Promise<void> => {
		const {port} = holder.address() as AddressInfo;
		const settings = {
			instance: 'entry-1', failureDomain: 'north-1', store: platform.endpoint, instanceList: platform.endpoint, listen: {
				callers: any, peers: any, operators: any, [listener]: {address: '127.0.0.1', port},
			},
		};
		const file = path.join(directory, 'settings.json');
		await writeFile(file, JSON.stringify(settings));
		child = spawn(process.execPath, [MAIN, file], {stdio: ['ignore', 'pipe', 'pipe']});
		exited = once(child, 'exit');
		child.stdout!.setEncoding('utf8').on('data', (text: string) => {
			output += text;
		});
		const isWaiting = new Promise<void>(resolve => {
			child.stderr!.setEncoding('utf8').on('data', (text: string) => {
				errors += text;
				if (errors.includes(`listen.${listener}: waiting: listen EADDRINUSE`)) {
					resolve();
				}
			});
		});
		await Promise.race([isWaiting, exited]);
	};

	beforeEach(async () => {
		output = '';
		errors = '';
		directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-entry-'));
		platform = await startPlatformStandIn();
		holder = createServer();
		holder.listen(0, '127.0.0.1');
		await once(holder, 'listening');
	});
	afterEach(async () => {
		child.kill('SIGKILL');
		holder.close();
		await platform.stop();
		await rm(directory, {recursive: true});
	});

	const check = async (listener: string): Promise<void> => {
		await start(listener);
		await sleep(HELD_MS);
		assert.equal(child.exitCode, null, errors);
		assert.equal(output, '');
		holder.close();
		await once(child.stdout!, 'data');
		assert.match(output, /"instance":"entry-1"/u);
		child.kill('SIGTERM');
		assert.deepEqual(await exited, [0, null]);
	};

	for (const listener of ['callers', 'peers', 'operators']) {
		it(`waits for the port of ${listener} and then runs`, async () => check(listener));
	}

	it('stops cleanly on SIGTERM while it waits', async () => {
		await start('callers');
		child.kill('SIGTERM');
		assert.deepEqual(await exited, [0, null], errors);
	});
});
