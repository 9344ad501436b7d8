import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent} from 'undici';
import {callDirectly} from '@pomelopick/testing.callers';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const IN_FLIGHT = 8;
const CALL_TIMEOUT_MS = 2000;

const deployment: Deployment = {
	name: 'silence', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 4, slots: 4,
	}],
};

describe('connections to backend servers that go silent while new ones work', () => {
	let fleet: Fleet;
	const agent = new Agent({connections: 32});
	const read = async (path: string) => callDirectly({
		endpoint: fleet.entries[0]!.instance.callers, service: 'ledger', path, timeoutMs: CALL_TIMEOUT_MS, dispatcher: agent,
	});
	const warmUp = async (): Promise<void> => {
		for (let round = 0; round < 20; round += 1) {
			await Promise.all(Array.from({length: IN_FLIGHT}, async (_, index) => read(`/warm/${round}-${index}`)));
		}
	};

	const freezeAll = async (): Promise<void> => {
		await Promise.all(fleet.backends.map(async backend => fleet.setBehaviour({backend, behaviour: {freezeOpenConnections: true}})));
	};

	const readCounters = async (): Promise<Record<string, number>> => {
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		return counters;
	};

	before(async () => {
		fleet = await startFleet({deployment, entries: 1});
	});
	after(async () => {
		await agent.destroy();
		await fleet.stop();
	});

	it('serves reads that come just after the silence within their deadline', async () => {
		await warmUp();
		await freezeAll();
		const records = await Promise.all(Array.from({length: IN_FLIGHT}, async (_, index) => read(`/after/${index}`)));
		const longestMs = Math.max(...records.map(({elapsedMs}) => elapsedMs));
		process.stdout.write(`silence to a served retry, ${IN_FLIGHT} reads at once: at most ${Math.round(longestMs)} ms\n`);
		assert.deepEqual(records.filter(({ended}) => ended !== 'answered'), []);
	});

	it('serves reads that were in flight when the silence began', async () => {
		await warmUp();
		const inFlight = Array.from({length: IN_FLIGHT}, async (_, index) => read(`/during/${index}?workMs=150`));
		await sleep(50);
		await freezeAll();
		const records = await Promise.all(inFlight);
		assert.deepEqual(records.filter(({ended}) => ended !== 'answered'), []);
	});

	it('detects idle silent connections by probes and replaces all of them before a write needs one', async () => {
		await warmUp();
		const before = await readCounters();
		await freezeAll();
		await sleep(2500);
		const after = await readCounters();
		assert.ok((after['connections.replaced'] ?? 0) > (before['connections.replaced'] ?? 0), JSON.stringify(after));
		const writes = await Promise.all(Array.from({length: IN_FLIGHT}, async (_, index) => callDirectly({
			endpoint: fleet.entries[0]!.instance.callers, service: 'ledger', method: 'POST', path: `/book/${index}`, body: '{}', timeoutMs: CALL_TIMEOUT_MS, dispatcher: agent,
		})));
		assert.deepEqual(writes.filter(({ended}) => ended !== 'answered'), []);
	});
});
