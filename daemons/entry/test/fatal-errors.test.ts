import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {it} from 'node:test';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {REPOSITORY_ROOT} from '@pomelopick/testing.repository';

const MAIN = path.join(REPOSITORY_ROOT, 'daemons/entry/lib/main.js');
const THROWS = 'data:text/javascript,process.on("SIGUSR2",()=>{throw new Error("broken")})';
const any = {address: '127.0.0.1', port: 0};

it('an error that reaches nobody in an entry instance is one line and an exit code of its own', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-entry-'));
	const platform = await startPlatformStandIn();
	const file = path.join(directory, 'settings.json');
	await writeFile(file, JSON.stringify({
		instance: 'entry-1', failureDomain: 'north-1', store: platform.endpoint, instanceList: platform.endpoint, listen: {callers: any, peers: any, operators: any},
	}));
	const child = spawn(process.execPath, ['--import', THROWS, MAIN, file], {stdio: ['ignore', 'pipe', 'pipe']});
	t.after(async () => {
		child.kill('SIGKILL');
		await platform.stop();
		await rm(directory, {recursive: true});
	});
	let errors = '';
	child.stderr.setEncoding('utf8').on('data', (text: string) => {
		errors += text;
	});
	const exited = once(child, 'exit');
	await once(child.stdout, 'data');
	child.kill('SIGUSR2');
	assert.deepEqual(await exited, [70, null]);
	const {event, instance, detail, phase} = JSON.parse(errors) as Readonly<Record<string, unknown>>;
	assert.deepEqual({
		event, instance, detail, phase,
	}, {
		event: 'fatal-error', instance: 'entry-1', detail: 'broken', phase: 'running',
	});
});
