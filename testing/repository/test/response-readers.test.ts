/** Guards against broken responses that one of the HTTP clients of the product takes for complete ones. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Either} from 'purify-ts';
import {BackendConnections} from '@pomelopick/calls.connections';
import {PeerClient, UpstreamClient} from '@pomelopick/calls.live';
import {LeavingServerPoller} from '@pomelopick/calls.placement';
import type {OwnerGroup} from '@pomelopick/calls.placement';
import {getJson} from '@pomelopick/cli.pomelopick';
import type {BackendServer, BackendServerName, Endpoint} from '@pomelopick/core.types';
import {ConsulInstanceList} from '@pomelopick/platform.instances';
import {PlatformStore} from '@pomelopick/platform.store';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {malformedFields} from '@pomelopick/testing.gateway-fleet';

const TIMEOUT_MS = 2000;
/** Time in which servers are polled once, in milliseconds. */
const POLL_MS = 1500;
const CONCURRENT_CASES = 8;
const HEAD_END = '\r\n\r\n';
const GOOD = 'HTTP/1.1 200 OK';

/** One of the clients, and what it is to receive. */
interface Reader {
	readonly name: string;
	/** Body of a response that it accepts. */
	readonly body: string;
	/** Whether it takes a response for an answer. Statuses of failure count as none. */
	readonly ask: (endpoint: Endpoint) => Promise<boolean>;
}

async function withStore(endpoint: Endpoint, act: (store: KeyValueStore) => Promise<boolean>): Promise<boolean> {
	const store = new PlatformStore({endpoint});
	try {
		return await act(store);
	} finally {
		await store.close();
	}
}

/** Whether a write of the store was answered for certain: done, or not done. */
async function writeToStore(store: KeyValueStore): Promise<boolean> {
	const written = await store.compareAndSwap({key: 'a', value: new TextEncoder().encode('x'), expectedIndex: 0}).run();
	return written.caseOf({Left: ({code}) => code !== 'undecided', Right: () => true});
}

function hasSucceeded(response: Either<unknown, {readonly status: number}>): boolean {
	return response.caseOf({Left: () => false, Right: ({status}) => status === 200});
}

const readers: readonly Reader[] = [
	{
		name: 'a read of the store', body: '{"key":"a","value":"eA==","revision":3}', ask: async endpoint => withStore(endpoint, async store => {
			const read = await store.get('a').run();
			return read.isRight();
		}),
	},
	{
		name: 'a write of the store', body: '{"revision":4}', ask: async endpoint => withStore(endpoint, writeToStore),
	},
	{
		name: 'a message to a peer', body: '{}', async ask(endpoint) {
			const client = new PeerClient();
			const response = await client.post({
				endpoint, path: '/x', body: '{}', timeoutMs: TIMEOUT_MS,
			});
			client.close();
			return hasSucceeded(response);
		},
	},
	{
		name: 'a request to an upstream', body: '{"kind":"unavailable"}', async ask(endpoint) {
			const client = new UpstreamClient();
			const answer = await client.requestChanges({
				endpoint, afterIndex: 1, mustStateEra: false, timeoutMs: TIMEOUT_MS, signal: new AbortController().signal,
			});
			client.close();
			return answer.isRight();
		},
	},
	{
		name: 'the list of instances', body: '[]', async ask(endpoint) {
			const list = new ConsulInstanceList({endpoint});
			const read = await list.read().run();
			await list.close();
			return read.isRight();
		},
	},
	{
		name: 'a health check', body: '', async ask(endpoint) {
			const connections = new BackendConnections({now: () => performance.now(), onReplaced() {/* No connection is silent in this test. */}, probeIntervalMs: 0});
			const {state, head} = await connections.askHealth({...endpoint, name: 'one' as BackendServerName, connections: 4});
			await connections.close();
			return state === 'responded' && head !== undefined;
		},
	},
	{
		name: 'a poll of a leaving server', body: '{"state":"draining"}', async ask(endpoint) {
			let isLeaving = false;
			const servers: ReadonlyArray<Partial<BackendServer>> = [{...endpoint, name: 'one' as BackendServerName}];
			const group: unknown = {
				servers, recordLeaving(found: {readonly isLeaving: boolean}) {
					isLeaving ||= found.isLeaving;
				},
			};
			const poller = new LeavingServerPoller({listGroups: () => [group as OwnerGroup]});
			poller.start();
			await sleep(POLL_MS);
			poller.stop();
			return isLeaving;
		},
	},
	{
		name: 'a question of an operator', body: '{}', async ask(endpoint) {
			const response = await getJson<unknown>({endpoint, path: '/v1/status'}).run();
			return response.isRight();
		},
	},
];

interface Case {
	readonly name: string;
	readonly isAnswer: boolean;
	readonly respond: (options: {readonly socket: Socket; readonly body: string}) => void;
}

const badStatusLines: readonly string[] = ['HTTP/1.1 000 X', 'HTTP/1.1 001 X', 'HTTP/1.1 099 X', 'HTTP/1.1 20 X', 'HTTP/1.1 2000 X', 'HTTP/1.1 101 X', 'HTTP/1.1 600 X', 'HTTP/1.1 999 X', 'HTTP/1.1', '200 OK', 'HTTP/0.9 200 OK', 'HTTP/2.0 200 OK'];

const headOf = (line: string, ...fields: readonly string[]): string => `${[line, ...fields].join('\r\n')}${HEAD_END}`;

const cases: readonly Case[] = [
	{
		name: 'that has a length', isAnswer: true, respond({socket, body}) {
			socket.write(`${headOf(GOOD, `content-length: ${body.length}`)}${body}`);
		},
	},
	{
		name: 'that ends with its connection', isAnswer: true, respond({socket, body}) {
			socket.end(`${headOf(GOOD)}${body}`);
		},
	},
	{
		name: 'that is reset with its connection', isAnswer: false, respond({socket, body}) {
			socket.write(`${headOf(GOOD)}${body}`, () => socket.resetAndDestroy());
		},
	},
	...badStatusLines.map((line): Case => ({
		name: `whose status line is ${JSON.stringify(line)}`, isAnswer: false, respond({socket, body}) {
			socket.write(`${headOf(line, `content-length: ${body.length}`)}${body}`);
		},
	})),
	...malformedFields.map((field): Case => ({
		name: `with the field line ${JSON.stringify(field)}`, isAnswer: false, respond({socket, body}) {
			socket.write(`${headOf(GOOD, field, `content-length: ${body.length}`)}${body}`, 'latin1');
		},
	})),
];

/** Answers each request of a client so, and returns whether the client took a response for an answer. */
async function ask({reader, respond}: {readonly reader: Reader; readonly respond: Case['respond']}): Promise<boolean> {
	const server = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => {/* The client may close the connection first. */});
		socket.once('data', () => {
			respond({socket, body: reader.body});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	try {
		return await reader.ask({address: '127.0.0.1', port: (server.address() as AddressInfo).port});
	} finally {
		server.close();
	}
}

for (const reader of readers) {
	// The poll is slow, as servers are polled once a second.
	describe(`${reader.name}, to which a response comes`, {concurrency: CONCURRENT_CASES}, () => {
		for (const {name, isAnswer, respond} of cases) {
			it(`is ${isAnswer ? 'answered' : 'not answered'} by one ${name}`, async () => {
				assert.equal(await ask({reader, respond}), isAnswer);
			});
		}
	});
}
