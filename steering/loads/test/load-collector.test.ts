import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {
	BackendServerName, InstanceId, RegionName, ServiceName,
} from '@pomelopick/core.types';
import {addLoads, chooseCollectors, LoadCollector} from '@pomelopick/steering.loads';
import type {SharedLoad} from '@pomelopick/steering.loads';

function load(server: string, inFlight: number, workFactor?: SharedLoad['workFactor']): SharedLoad {
	return {server: server as BackendServerName, inFlight, workFactor};
}

const sums: ReadonlyArray<{name: string; loads: readonly SharedLoad[]; expected: readonly SharedLoad[]}> = [
	{name: 'nothing', loads: [], expected: []},
	{name: 'the requests of several instances at one server', loads: [load('a', 2), load('b', 1), load('a', 3)], expected: [load('a', 5), load('b', 1)]},
	{
		name: 'the newest of several work factors', loads: [load('a', 1, {factor: 1, ageMs: 300}), load('a', 0, {factor: 2.5, ageMs: 100}), load('a', 1)], expected: [load('a', 2, {factor: 2.5, ageMs: 100})],
	},
];

describe('addLoads', () => {
	for (const {name, loads, expected} of sums) {
		it(`adds up ${name}`, () => {
			assert.deepEqual(addLoads(loads), expected);
		});
	}
});

describe('LoadCollector', () => {
	it('replaces the report of a source, so that ended requests no longer count', () => {
		const collector = new LoadCollector<string>();
		collector.record({
			source: 'one', loads: [load('a', 4)], demand: [], nowMs: 0,
		});
		collector.record({
			source: 'one', loads: [load('b', 1)], demand: [], nowMs: 500,
		});
		assert.deepEqual(collector.list(500), [load('b', 1)]);
	});

	it('drops the report of an instance that has ended', () => {
		const collector = new LoadCollector<string>();
		collector.record({
			source: 'one', loads: [load('a', 4)], demand: [{service: 'ledger' as ServiceName, priorities: [], organisations: []}], nowMs: 0,
		});
		assert.equal(collector.hasReports(1499), true);
		assert.equal(collector.hasReports(1500), false);
		assert.deepEqual(collector.list(1500), []);
		assert.deepEqual(collector.listDemands(1500), []);
	});

	it('lets work factors age while they are kept', () => {
		const collector = new LoadCollector<string>();
		collector.record({
			source: 'one', loads: [load('a', 1, {factor: 2, ageMs: 100})], demand: [], nowMs: 0,
		});
		assert.deepEqual(collector.list(200), [load('a', 1, {factor: 2, ageMs: 300})]);
	});
});

describe('chooseCollectors', () => {
	const instances = Array.from({length: 30}, (_, index) => ({id: `instance-${index}` as InstanceId, region: `region-${index % 3}` as RegionName}));
	it('chooses instances of the region, in the same order whatever the order of the list', () => {
		const region = 'region-1' as RegionName;
		const chosen = chooseCollectors({region, instances, count: 2});
		assert.deepEqual(chosen.map(instance => instance.region), [region, region]);
		assert.deepEqual(chooseCollectors({region, instances: [...instances].reverse(), count: 2}), chosen);
	});
});
