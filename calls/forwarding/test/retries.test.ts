import assert from 'node:assert/strict';
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {callDirectly} from '@pomelopick/testing.callers';
import type {CallDirectlyOptions} from '@pomelopick/testing.callers';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';
import {startScriptedServer, completeResponse} from './scripted-server.js';
import type {ScriptedRequest, ScriptedServer} from './scripted-server.js';

const SERVICES = 9;
const SERVERS = 8;
const FAILING_CALLS = 800;
const FAILING_AT_ONCE = 8;
const FULL_BUDGET = 50;
const BUDGET_SHARE = 0.1;
const BUDGET_PER_SECOND = 5;

const deployment: Deployment = {
	name: 'eight-domains', regions: ['north', 'south'], failureDomainsPerRegion: 4, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	// One service for each test, so that failures recorded in one test do not influence steering in the next.
	services: Array.from({length: SERVICES}, (_, index) => ({
		name: `ledger-${index}`, priority: 'interactive', servers: SERVERS, slots: 4,
	})),
};

const resetConnection = ({socket}: ScriptedRequest): void => {
	socket.resetAndDestroy();
};

const rejectAsOverloaded = ({socket}: ScriptedRequest): void => {
	socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
};

const cases: ReadonlyArray<{name: string; call: Partial<CallDirectlyOptions>; script: (request: ScriptedRequest) => void; attempts: number}> = [
	{
		name: 'a read whose connections are reset', call: {}, script: resetConnection, attempts: 3,
	},
	{
		name: 'a write whose connection is reset', call: {method: 'POST', body: '{}'}, script: resetConnection, attempts: 1,
	},
	{
		name: 'a write that servers reject with status 503', call: {method: 'POST', body: '{}'}, script: rejectAsOverloaded, attempts: 3,
	},
	{
		name: 'a read whose sender allows one attempt', call: {headers: {'x-attempts-left': '1'}}, script: resetConnection, attempts: 1,
	},
	{
		name: 'a read whose sender allows two attempts', call: {headers: {'x-attempts-left': '2'}}, script: resetConnection, attempts: 2,
	},
];

describe('attempts of a call', () => {
	let fleet: Fleet;
	let all: ScriptedServer[];
	let servers: ScriptedServer[];
	let service = -1;
	const agent = new Agent({connections: 16});
	const call = async (options: Partial<CallDirectlyOptions> = {}) => callDirectly({
		endpoint: fleet.entries[0]!.instance.callers, service: `ledger-${service}`, path: `/x/${Math.random()}`, timeoutMs: 2000, dispatcher: agent, ...options,
	});
	const countRequests = (): number => servers.reduce((sum, {requests}) => sum + requests.length, 0);
	const scriptAll = (script: (request: ScriptedRequest) => void): void => {
		for (const server of servers) {
			server.script = script;
		}
	};

	before(async () => {
		all = await Promise.all(Array.from({length: SERVICES * SERVERS}, async () => startScriptedServer()));
		fleet = await startFleet({
			deployment, entries: 1, adjustSet: set => ({...set, backendServers: (set.backendServers ?? []).map((backend, index) => ({...backend, ...all[index]!.endpoint}))}),
		});
	});
	beforeEach(() => {
		service += 1;
		servers = all.slice(service * SERVERS, (service + 1) * SERVERS);
	});
	after(async () => {
		await agent.destroy();
		await fleet.stop();
		await Promise.all(all.map(async server => server.stop()));
	});

	const countServersWithRepeats = (): number => servers.filter(({requests}) => requests.length > 1).length;

	for (const {name, call: options, script, attempts} of cases) {
		it(`are ${attempts} for ${name}, each in another failure domain`, async () => {
			scriptAll(script);
			await call(options);
			assert.deepEqual([countRequests(), countServersWithRepeats()], [attempts, 0]);
		});
	}

	it('add a hedge to a read whose server is slow, and cancel the slower attempt', async () => {
		let isFirst = true;
		scriptAll(({socket, callId}) => {
			if (isFirst) {
				isFirst = false;
				return;
			}

			socket.write(completeResponse({callId}));
		});
		const {ended, elapsedMs} = await call({timeoutMs: 3000});
		await sleep(100);
		assert.equal(ended, 'answered');
		assert.ok(elapsedMs < 1500, `${elapsedMs} ms`);
		const slowServer = servers.find(({requests}) => requests.some(({socket}) => socket.bytesWritten === 0 || socket.destroyed));
		assert.ok(slowServer?.requests.at(-1)?.socket.destroyed, 'the slower attempt was not cancelled');
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		assert.ok((counters['hedge.slow-answer'] ?? 0) >= 1);
	});

	it('stay within the retry budget when one of three requests fails', async () => {
		// The successful responses keep the servers from being excluded as failing.
		scriptAll(request => {
			if (countRequests() % 3 === 0) {
				resetConnection(request);
			} else {
				request.socket.write(completeResponse(request));
			}
		});
		const startedAtMs = performance.now();
		for (let sent = 0; sent < FAILING_CALLS; sent += FAILING_AT_ONCE) {
			await Promise.all(Array.from({length: FAILING_AT_ONCE}, async () => call()));
		}

		const elapsedMs = performance.now() - startedAtMs;
		const maxRequests = FAILING_CALLS + FULL_BUDGET + (FAILING_CALLS * BUDGET_SHARE) + (BUDGET_PER_SECOND * elapsedMs / 1000);
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		assert.ok(countRequests() <= maxRequests, `${countRequests()} requests for ${FAILING_CALLS} calls, at most ${maxRequests}`);
		assert.ok((counters['retry.budget-used-up'] ?? 0) > 0, JSON.stringify(counters));
	});

	it('add no hedge to a slow read of a service with too few latency samples', async () => {
		scriptAll(({socket, callId}) => {
			setTimeout(() => {
				socket.write(completeResponse({callId}));
			}, 900);
		});
		const {ended} = await call({timeoutMs: 9000});
		assert.equal(ended, 'answered');
		assert.equal(countRequests(), 1);
	});

	it('never include a hedge of a write', async () => {
		scriptAll(() => undefined);
		await call({method: 'POST', body: '{}', timeoutMs: 900});
		assert.equal(countRequests(), 1);
	});
});
