import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {buffer, text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {createPlannedSet, plannedSize} from '@pomelopick/config.examples';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {Endpoint} from '@pomelopick/core.types';
import {createCli, describeUsageError} from '@pomelopick/cli.pomelopick';

/** Text in the body of a transaction that writes the configuration root. */
const ROOT_WRITE = '"puts":[{"key":"pomelopick/configuration/root"';

async function run(...words: readonly string[]): Promise<{readonly code: number; readonly output: string; readonly errors: string}> {
	const stdout = new PassThrough();
	const stderr = new PassThrough();
	const reads = Promise.all([text(stdout), text(stderr)]);
	const code = await createCli().run([...words], {stdin: new PassThrough(), stdout, stderr});
	stdout.end();
	stderr.end();
	const [output, errors] = await reads;
	return {code, output, errors};
}

/** Starts a proxy before a store: it forwards the write of the root but drops its response, and closes all connections from then on. */
async function startFailingStore(store: Endpoint): Promise<Server> {
	let isDown = false;
	const forward = async ({request, body}: {readonly request: IncomingMessage; readonly body: Uint8Array}): Promise<Response> => fetch(`http://${store.address}:${store.port}${request.url}`, {
		method: request.method, ...(body.length > 0 && {body: new Uint8Array(body)}),
	});
	const server = createServer(async (request, response) => {
		if (isDown) {
			request.socket.destroy();
			return;
		}

		const body = await buffer(request);
		isDown = body.toString('utf8').includes(ROOT_WRITE);
		const forwarded = await forward({request, body});
		if (isDown) {
			request.socket.destroy();
			return;
		}

		response.writeHead(forwarded.status);
		response.end(new Uint8Array(await forwarded.arrayBuffer()));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

const commands: ReadonlyArray<{name: string; words: (file: string) => readonly string[]; advice: RegExp}> = [
	{name: 'config publish', words: file => ['config', 'publish', file], advice: /run it again with --publish-id (?<id>[\da-f-]{36})/u},
	{name: 'config rollback', words: () => ['config', 'rollback', '1'], advice: /run it again with --publish-id (?<id>[\da-f-]{36})/u},
	{name: 'drain', words: () => ['drain', 'site', 'site-1', '--yes'], advice: /publish (?<id>[\da-f-]{36}): .*"config history" names this publish if it took effect/u},
];

describe('a publish whose response is lost because the store becomes unavailable', () => {
	for (const {name, words, advice} of commands) {
		it(`${name} ends with exit code 4, and the history shows that it took effect`, async () => {
			const directory = await mkdtemp(path.join(tmpdir(), 'pomelopick-'));
			const platform = await startPlatformStandIn({});
			const store = `${platform.endpoint.address}:${platform.endpoint.port}`;
			const file = path.join(directory, 'set.json');
			await writeFile(file, JSON.stringify(createPlannedSet({seed: 1, size: {...plannedSize, clientBlocks: 10}})));
			const first = await run('config', 'publish', file, '--store', store);
			assert.equal(first.code, 0, first.errors);
			const proxy = await startFailingStore(platform.endpoint);
			const lost = await run(...words(file), '--store', `127.0.0.1:${(proxy.address() as AddressInfo).port}`);
			const history = await run('config', 'history', '--store', store);
			proxy.close();
			await platform.stop();
			await rm(directory, {recursive: true});
			assert.equal(lost.code, 4, lost.errors);
			assert.match(lost.errors, advice);
			assert.match(history.output, new RegExp(advice.exec(lost.errors)!.groups!.id!, 'u'));
		});
	}
});

const usageCases: ReadonlyArray<{name: string; words: readonly string[]; expected: RegExp | undefined}> = [
	{name: 'a missing flag', words: ['status'], expected: /^bad-flag: --instance: missing; Listener for operators.*\nusage: /u},
	{name: 'an unknown flag', words: ['config', 'show', '--store', '127.0.0.1:1', '--sotre=x'], expected: /^bad-flag: --sotre: unknown\nusage: /u},
	{name: 'nothing for an unknown command', words: ['statsu'], expected: undefined},
];

describe('describeUsageError', () => {
	for (const {name, words, expected} of usageCases) {
		it(`reports ${name}`, () => {
			const described = describeUsageError({cli: createCli(), words});
			if (expected) {
				assert.match(described ?? '', expected);
			} else {
				assert.equal(described, undefined);
			}
		});
	}
});
