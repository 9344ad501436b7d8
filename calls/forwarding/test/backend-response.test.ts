import assert from 'node:assert/strict';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {startScriptedServer, completeResponse} from './scripted-server.js';
import type {ScriptedRequest, ScriptedServer} from './scripted-server.js';

const SERVICES = 20;
const LATE_RESPONSE_MS = 1300;

const deployment: Deployment = {
	name: 'one-server', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	// One service for each test, so that failures recorded in one test do not influence steering in the next.
	services: Array.from({length: SERVICES}, (_, index) => ({
		name: `ledger-${index}`, priority: 'interactive', servers: 1, slots: 4,
	})),
};

const largeBody = 'y'.repeat(100_000);

interface Expected {
	readonly status: number;
	readonly reason?: string;
	readonly execution?: string;
}

const cases: ReadonlyArray<{name: string; method?: 'GET' | 'POST'; timeoutMs?: number; script: (request: ScriptedRequest) => void; expected: Expected}> = [
	{
		name: 'forwards a complete response', expected: {status: 200}, script({socket, callId}) {
			socket.write(completeResponse({callId}));
		},
	},
	{
		name: 'forwards a chunked response', expected: {status: 200}, script({socket}) {
			socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n');
		},
	},
	{
		name: 'refuses a response shorter than its content length', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'refuses a chunked response without its last chunk', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n');
		},
	},
	{
		name: 'refuses a response with neither a content length nor chunks', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\n\r\nhalf or whole?');
		},
	},
	{
		name: 'reports unknown for a truncated error response to a write', method: 'POST', expected: {status: 502, reason: 'answer-truncated', execution: 'unknown'}, script({socket}) {
			socket.end('HTTP/1.1 500 Internal Server Error\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'reports ran for a write whose response body is late', method: 'POST', timeoutMs: 800, expected: {status: 504, reason: 'deadline-exceeded', execution: 'ran'}, script({socket}) {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'refuses the response to another call', expected: {status: 502, reason: 'answer-mismatched', execution: 'unknown'}, script({socket}) {
			socket.write(completeResponse({callId: 'another'}));
		},
	},
	{
		name: 'reports not-run for a write that the server rejected with status 503', method: 'POST', expected: {status: 503, reason: 'backend-shed', execution: 'not-run'}, script({socket}) {
			socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
		},
	},
	{
		name: 'reports unknown for a write whose connection was reset', method: 'POST', expected: {status: 502, reason: 'backend-failed', execution: 'unknown'}, script({socket}) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'reports unknown for a write without a response by the deadline', method: 'POST', timeoutMs: 800, expected: {status: 504, reason: 'deadline-exceeded', execution: 'unknown'}, script() {
			// Never responds.
		},
	},
];

describe('the response to a call', () => {
	let fleet: Fleet;
	let servers: ScriptedServer[];
	let server: ScriptedServer;
	let service = -1;
	const agent = new Agent({connections: 8});
	const send = async ({method = 'GET', path = '/x', timeoutMs = 2000, signal}: {method?: 'GET' | 'POST'; path?: string; timeoutMs?: number; signal?: AbortSignal}) => {
		const {address, port} = fleet.entries[0]!.instance.callers;
		const response = await request(`http://${address}:${port}/v1/services/ledger-${service}${path}`, {
			dispatcher: agent, method, headers: {'x-request-timeout-ms': String(timeoutMs)}, signal, ...(method === 'POST' && {body: '{}'}),
		});
		const text = await response.body.text();
		const problem = response.headers['content-type'] === 'application/problem+json' ? JSON.parse(text) as {title: string; execution: string} : undefined;
		return {
			status: response.statusCode, text, retryAfter: response.headers['retry-after'], ...(problem && {reason: problem.title, execution: problem.execution}),
		};
	};

	before(async () => {
		servers = await Promise.all(Array.from({length: SERVICES}, async () => startScriptedServer()));
		fleet = await startFleet({
			deployment, entries: 1, adjustSet: set => ({...set, backendServers: (set.backendServers ?? []).map((backend, index) => ({...backend, ...servers[index]!.endpoint}))}),
		});
	});
	beforeEach(() => {
		service += 1;
		server = servers[service]!;
	});
	after(async () => {
		await agent.destroy();
		await fleet.stop();
		await Promise.all(servers.map(async scripted => scripted.stop()));
	});

	const useScript = (script: ScriptedServer['script']): void => {
		server.script = script;
	};

	for (const {name, method, timeoutMs, script, expected} of cases) {
		it(name, async () => {
			useScript(script);
			const {status, reason, execution, text} = await send({method, timeoutMs});
			assert.deepEqual({status, reason, execution}, {reason: undefined, execution: undefined, ...expected}, text);
			if (status === 200) {
				assert.equal(text, 'whole');
			}
		});
	}

	it('passes the retry-after header of a 503 response to the caller', async () => {
		server.script = ({socket}) => {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n');
		};

		const {retryAfter} = await send({method: 'POST'});
		assert.equal(retryAfter, '7');
	});

	it('resets the caller\'s connection when a large response is truncated', async () => {
		server.script = ({socket}) => {
			socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${largeBody.length.toString(16)}\r\n${largeBody}\r\n`, () => {
				setTimeout(() => {
					socket.destroy();
				}, 50);
			});
		};

		await assert.rejects(async () => send({}));
	});

	it('never gives a late response to the next call', async () => {
		server.script = ({socket, callId, request: number}) => {
			setTimeout(() => {
				socket.write(completeResponse({callId, body: `answer ${number}`}));
			}, LATE_RESPONSE_MS);
		};

		const first = server.requests.length + 1;
		const timedOut = await send({method: 'POST', timeoutMs: 800});
		const next = await send({method: 'POST', timeoutMs: 4000});
		assert.deepEqual([timedOut.reason, next.text], ['deadline-exceeded', `answer ${first + 1}`]);
		const [one, two] = server.requests.slice(first - 1);
		assert.notEqual(one?.connection, two?.connection);
		assert.ok(server.closedConnections.includes(one!.connection));
	});

	it('closes the connection to the backend server when the caller disconnects', async () => {
		server.script = () => undefined;
		const disconnect = new AbortController();
		const pending = send({method: 'POST', timeoutMs: 5000, signal: disconnect.signal});
		const earlierRequests = server.requests.length;
		while (server.requests.length === earlierRequests) {
			await sleep(5);
		}

		disconnect.abort();
		await assert.rejects(pending);
		const {connection} = server.requests.at(-1)!;
		for (let waitedMs = 0; waitedMs < 1000 && !server.closedConnections.includes(connection); waitedMs += 10) {
			await sleep(10);
		}

		assert.ok(server.closedConnections.includes(connection));
	});

	it('sends the backend server a shorter timeout than the caller gave, and one attempt', async () => {
		server.script = ({socket, callId}) => {
			socket.write(completeResponse({callId}));
		};

		await send({timeoutMs: 1500});
		const {text} = server.requests.at(-1)!;
		const sentMs = Number(/x-request-timeout-ms: (\d+)/u.exec(text)?.[1]);
		assert.ok(sentMs > 1000 && sentMs <= 1490, `sent ${sentMs}`);
		assert.equal(/x-attempts-left: (\d+)/u.exec(text)?.[1], '1');
	});

	it('reports not-run when the connection is refused', async () => {
		await server.stop();
		const {reason, execution, retryAfter} = await send({method: 'POST'});
		assert.deepEqual({reason, execution, retryAfter}, {reason: 'connect-failed', execution: 'not-run', retryAfter: '1'});
	});
});
