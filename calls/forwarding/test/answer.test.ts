import assert from 'node:assert/strict';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {startScriptedServer, wholeAnswer} from './scripted-server.js';
import type {ScriptedRequest, ScriptedServer} from './scripted-server.js';

const SERVICES = 20;
const LATE_ANSWER_MS = 1300;

const deployment: Deployment = {
	name: 'one-server', regions: ['north', 'south'], domainsPerRegion: 1, megabitsPerSecond: 100, betweenRegionsMs: 0, betweenDomainsMs: 0, toClientsMs: 0,
	// One service a test, so that what steering learns from the faults of one does not touch the next.
	services: Array.from({length: SERVICES}, (_, index) => ({
		name: `ledger-${index}`, priority: 'interactive', servers: 1, slots: 4,
	})),
};

const large = 'y'.repeat(100_000);

interface Expected {
	readonly status: number;
	readonly reason?: string;
	readonly execution?: string;
}

const cases: ReadonlyArray<{name: string; method?: 'GET' | 'POST'; timeoutMs?: number; script: (request: ScriptedRequest) => void; expected: Expected}> = [
	{
		name: 'passes a whole answer on', expected: {status: 200}, script({socket, callId}) {
			socket.write(wholeAnswer({callId}));
		},
	},
	{
		name: 'joins an answer in chunks', expected: {status: 200}, script({socket}) {
			socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n');
		},
	},
	{
		name: 'refuses an answer shorter than its length', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'refuses chunks without an end', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n');
		},
	},
	{
		name: 'refuses an answer whose end cannot be told', expected: {status: 502, reason: 'answer-truncated', execution: 'ran'}, script({socket}) {
			socket.end('HTTP/1.1 200 OK\r\n\r\nhalf or whole?');
		},
	},
	{
		name: 'says unknown of a write whose failed answer was cut', method: 'POST', expected: {status: 502, reason: 'answer-truncated', execution: 'unknown'}, script({socket}) {
			socket.end('HTTP/1.1 500 Internal Server Error\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'says ran of a write whose body did not come by the deadline', method: 'POST', timeoutMs: 800, expected: {status: 504, reason: 'deadline-exceeded', execution: 'ran'}, script({socket}) {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf');
		},
	},
	{
		name: 'refuses the answer of another call', expected: {status: 502, reason: 'answer-mismatched', execution: 'unknown'}, script({socket}) {
			socket.write(wholeAnswer({callId: 'another'}));
		},
	},
	{
		name: 'says not-run of a write that was shed', method: 'POST', expected: {status: 503, reason: 'backend-shed', execution: 'not-run'}, script({socket}) {
			socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
		},
	},
	{
		name: 'says unknown of a write whose connection broke', method: 'POST', expected: {status: 502, reason: 'backend-failed', execution: 'unknown'}, script({socket}) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'says unknown of a write without an answer by the deadline', method: 'POST', timeoutMs: 800, expected: {status: 504, reason: 'deadline-exceeded', execution: 'unknown'}, script() {
			// Never answers.
		},
	},
];

describe('the answer to a call', () => {
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

	it('tells a caller that was shed when to come back', async () => {
		server.script = ({socket}) => {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n');
		};

		const {retryAfter} = await send({method: 'POST'});
		assert.equal(retryAfter, '7');
	});

	it('cuts a large answer that breaks off, so that no part passes for the whole', async () => {
		server.script = ({socket}) => {
			socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${large.length.toString(16)}\r\n${large}\r\n`, () => {
				setTimeout(() => {
					socket.destroy();
				}, 50);
			});
		};

		await assert.rejects(async () => send({}));
	});

	it('never gives a late answer to the next call of its connection', async () => {
		server.script = ({socket, callId, request: number}) => {
			setTimeout(() => {
				socket.write(wholeAnswer({callId, body: `answer ${number}`}));
			}, LATE_ANSWER_MS);
		};

		const first = server.requests.length + 1;
		const late = await send({method: 'POST', timeoutMs: 800});
		const next = await send({method: 'POST', timeoutMs: 4000});
		assert.deepEqual([late.reason, next.text], ['deadline-exceeded', `answer ${first + 1}`]);
		const [one, two] = server.requests.slice(first - 1);
		assert.notEqual(one?.connection, two?.connection);
		assert.ok(server.closedConnections.includes(one!.connection));
	});

	it('cancels the backend server\'s work when its caller leaves', async () => {
		server.script = () => undefined;
		const leaving = new AbortController();
		const pending = send({method: 'POST', timeoutMs: 5000, signal: leaving.signal});
		const known = server.requests.length;
		while (server.requests.length === known) {
			await sleep(5);
		}

		leaving.abort();
		await assert.rejects(pending);
		const {connection} = server.requests.at(-1)!;
		for (let waitedMs = 0; waitedMs < 1000 && !server.closedConnections.includes(connection); waitedMs += 10) {
			await sleep(10);
		}

		assert.ok(server.closedConnections.includes(connection));
	});

	it('gives a backend server less time than its caller gave, and no attempts of its own', async () => {
		server.script = ({socket, callId}) => {
			socket.write(wholeAnswer({callId}));
		};

		await send({timeoutMs: 1500});
		const {text} = server.requests.at(-1)!;
		const sentMs = Number(/x-request-timeout-ms: (\d+)/u.exec(text)?.[1]);
		assert.ok(sentMs > 1000 && sentMs <= 1490, `sent ${sentMs}`);
		assert.equal(/x-attempts-left: (\d+)/u.exec(text)?.[1], '1');
	});

	it('says not-run when nothing listens', async () => {
		await server.stop();
		const {reason, execution, retryAfter} = await send({method: 'POST'});
		assert.deepEqual({reason, execution, retryAfter}, {reason: 'connect-failed', execution: 'not-run', retryAfter: '1'});
	});
});
