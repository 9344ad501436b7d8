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
import {startScriptedServer, wholeAnswer} from './scripted-server.js';
import type {ScriptedRequest, ScriptedServer} from './scripted-server.js';

const SERVICES = 9;
const SERVERS = 8;
const FAILING_CALLS = 800;
const FAILING_AT_ONCE = 8;
const FULL_BUDGET = 50;
const BUDGET_SHARE = 0.1;
const BUDGET_PER_SECOND = 5;

const deployment: Deployment = {
	name: 'eight-domains', regions: ['north', 'south'], domainsPerRegion: 4, megabitsPerSecond: 100, betweenRegionsMs: 0, betweenDomainsMs: 0, toClientsMs: 0,
	// One service a test, so that what steering learns from the faults of one does not touch the next.
	services: Array.from({length: SERVICES}, (_, index) => ({
		name: `ledger-${index}`, priority: 'interactive', servers: SERVERS, slots: 4,
	})),
};

const breaks = ({socket}: ScriptedRequest): void => {
	socket.resetAndDestroy();
};

const sheds = ({socket}: ScriptedRequest): void => {
	socket.write('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n');
};

const cases: ReadonlyArray<{name: string; call: Partial<CallDirectlyOptions>; script: (request: ScriptedRequest) => void; attempts: number}> = [
	{
		name: 'a read that broke three times', call: {}, script: breaks, attempts: 3,
	},
	{
		name: 'a write that broke once', call: {method: 'POST', body: '{}'}, script: breaks, attempts: 1,
	},
	{
		name: 'a write that was shed three times', call: {method: 'POST', body: '{}'}, script: sheds, attempts: 3,
	},
	{
		name: 'a read whose sender left one attempt', call: {headers: {'x-attempts-left': '1'}}, script: breaks, attempts: 1,
	},
	{
		name: 'a read whose sender left two attempts', call: {headers: {'x-attempts-left': '2'}}, script: breaks, attempts: 2,
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

	const countTwiceAsked = (): number => servers.filter(({requests}) => requests.length > 1).length;

	for (const {name, call: options, script, attempts} of cases) {
		it(`are ${attempts} for ${name}, each in another failure domain`, async () => {
			scriptAll(script);
			await call(options);
			assert.deepEqual([countRequests(), countTwiceAsked()], [attempts, 0]);
		});
	}

	it('add a hedge to a read whose server is slow, and cancel the loser', async () => {
		let isFirst = true;
		scriptAll(({socket, callId}) => {
			if (isFirst) {
				isFirst = false;
				return;
			}

			socket.write(wholeAnswer({callId}));
		});
		const {ended, elapsedMs} = await call({timeoutMs: 3000});
		await sleep(100);
		assert.equal(ended, 'answered');
		assert.ok(elapsedMs < 1500, `${elapsedMs} ms`);
		const loser = servers.find(({requests}) => requests.some(({socket}) => socket.bytesWritten === 0 || socket.destroyed));
		assert.ok(loser?.requests.at(-1)?.socket.destroyed, 'the loser runs on');
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		assert.ok((counters['hedge.slow-answer'] ?? 0) >= 1);
	});

	it('stay within the retry budget when one of three requests fails', async () => {
		// The answers keep the servers from being left out.
		scriptAll(request => {
			if (countRequests() % 3 === 0) {
				breaks(request);
			} else {
				request.socket.write(wholeAnswer(request));
			}
		});
		const startedAtMs = performance.now();
		for (let sent = 0; sent < FAILING_CALLS; sent += FAILING_AT_ONCE) {
			await Promise.all(Array.from({length: FAILING_AT_ONCE}, async () => call()));
		}

		const elapsedMs = performance.now() - startedAtMs;
		const most = FAILING_CALLS + FULL_BUDGET + (FAILING_CALLS * BUDGET_SHARE) + (BUDGET_PER_SECOND * elapsedMs / 1000);
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		assert.ok(countRequests() <= most, `${countRequests()} requests for ${FAILING_CALLS} calls, at most ${most}`);
		assert.ok((counters['retry.budget-used-up'] ?? 0) > 0, JSON.stringify(counters));
	});

	it('add no hedge to a read that takes a while at a service whose latency is not known', async () => {
		scriptAll(({socket, callId}) => {
			setTimeout(() => {
				socket.write(wholeAnswer({callId}));
			}, 900);
		});
		const {ended} = await call({timeoutMs: 9000});
		assert.equal(ended, 'answered');
		assert.equal(countRequests(), 1);
	});

	it('never hedge a write', async () => {
		scriptAll(() => undefined);
		await call({method: 'POST', body: '{}', timeoutMs: 900});
		assert.equal(countRequests(), 1);
	});
});
