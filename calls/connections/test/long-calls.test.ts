import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Agent} from 'undici';
import {callDirectly} from '@pomelopick/testing.callers';
import type {DirectResponse} from '@pomelopick/testing.callers';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const CALL_TIMEOUT_MS = 12_000;
const ROUNDS = 5;

const deployment: Deployment = {
	name: 'long', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 2, slots: 4,
	}],
};

const cases: ReadonlyArray<{name: string; method: 'GET' | 'POST'; workMs: number}> = [
	{name: 'reads that take a second', method: 'GET', workMs: 1000},
	{name: 'writes that take a second', method: 'POST', workMs: 1000},
];

describe('connections whose calls take long', () => {
	let fleet: Fleet;
	const agent = new Agent({connections: 32});
	before(async () => {
		fleet = await startFleet({deployment, entries: 1});
	});
	after(async () => {
		await agent.destroy();
		await fleet.stop();
	});

	const call = async (options: {readonly method: 'GET' | 'POST'; readonly path: string}) => callDirectly({
		endpoint: fleet.entries[0]!.instance.callers, service: 'ledger', timeoutMs: CALL_TIMEOUT_MS, dispatcher: agent, ...options,
	});

	const drive = async ({method, workMs}: {readonly method: 'GET' | 'POST'; readonly workMs: number}): Promise<DirectResponse[]> => {
		const records: DirectResponse[] = [];
		for (let round = 0; round < ROUNDS; round += 1) {
			records.push(await call({method, path: `/${method}/${round}?workMs=${workMs}`}));
		}

		return records;
	};

	const readStatus = async () => getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});

	for (const {name, method, workMs} of cases) {
		it(`are neither treated as silent nor leave hedges in the queue: ${name}`, async () => {
			const records = await drive({method, workMs});
			assert.deepEqual(records.filter(record => record.ended !== 'answered'), []);
			const {counters} = await readStatus();
			assert.equal(counters['connections.replaced'] ?? 0, 0, JSON.stringify(counters));
		});
	}
});
