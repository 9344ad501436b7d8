import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {
	Caller, createKey, compareRecords,
} from '@pomelopick/testing.callers';
import type {CallRecord} from '@pomelopick/testing.callers';
import {
	getJson, startFleet, popescuVlad,
} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const small: Deployment = {
	...popescuVlad,
	services: popescuVlad.services.map(service => ({...service, servers: 3})),
};

describe('a fleet of real processes', () => {
	let fleet: Fleet;
	const caller = new Caller({localAddress: '127.0.1.1', bootstrap: () => fleet.entries.map(({instance}) => instance.callers)});
	before(async () => {
		fleet = await startFleet({deployment: small, entries: 3});
	});
	after(async () => {
		await caller.close();
		await fleet.stop();
	});

	it('names entry instances for a client, nearest first', async () => {
		const [{instance}] = fleet.entries as [Fleet['entries'][number]];
		const answer = await getJson<{site: string; entries: Array<{failureDomain: string}>}>({endpoint: instance.callers, path: '/v1/entries?service=corrections&client=127.0.2.9'});
		assert.equal(answer.site, 'muntenia-1-site');
		assert.equal(answer.entries[0]?.failureDomain, 'muntenia-1');
	});

	it('carries reads and writes to backend servers and their whole answers back', async () => {
		const records: CallRecord[] = await Promise.all(Array.from({length: 12}, async (_, index) => caller.call(index % 2 === 0
			? {service: 'archive', path: `/notices/${index}`, timeoutMs: 3000}
			: {
				service: 'corrections', method: 'POST', path: `/retractions/${index}`, body: `{"number":${index}}`, key: createKey(), timeoutMs: 3000,
			})));
		const comparison = compareRecords({records, executions: await fleet.listExecutions()});
		assert.equal(comparison.answered, 12, JSON.stringify(records.filter(({ended}) => ended !== 'answered')));
		assert.equal(comparison.doubleExecutions, 0);
	});

	it('refuses an unknown service with a problem document', async () => {
		const record = await caller.call({service: 'nowhere', path: '/x', timeoutMs: 3000});
		assert.deepEqual({ended: record.ended, reason: record.reason, execution: record.execution}, {ended: 'refused', reason: 'unknown-service', execution: 'not-run'});
	});

	it('stops an instance gracefully while its calls finish', async () => {
		const [entry] = fleet.entries as [Fleet['entries'][number]];
		const direct = new Caller({bootstrap: () => [entry.instance.callers], isRetrying: false});
		const inFlight = direct.call({service: 'archive', path: '/slow?workMs=400', timeoutMs: 3000});
		await new Promise(resolve => {
			setTimeout(resolve, 150);
		});
		const code = await fleet.stopEntry(entry);
		const record = await inFlight;
		await direct.close();
		assert.deepEqual({code, ended: record.ended}, {code: 0, ended: 'answered'});
	});
});
