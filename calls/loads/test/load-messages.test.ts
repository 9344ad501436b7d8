import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import {
	decodeLoadAnswer, decodeLoadReport, encodeDemands, encodeLoadAnswer, encodeLoadReport,
} from '@pomelopick/calls.loads';
import type {LoadReport} from '@pomelopick/calls.loads';
import type {
	BackendServerName, InstanceId, OrganisationName, RegionName, ServiceName,
} from '@pomelopick/core.types';
import type {ServiceDemand} from '@pomelopick/steering.loads';

const loads = [
	{server: 'i-1' as BackendServerName, inFlight: 3, workFactor: undefined},
	{server: 'i-2' as BackendServerName, inFlight: 0, workFactor: {factor: 2.5, ageMs: 120}},
];

const demand: readonly ServiceDemand[] = [{
	service: 'ledger' as ServiceName,
	priorities: [{priority: 0, offeredRate: 7.25, admittedRate: 6}, {priority: 2, offeredRate: 1, admittedRate: 0}],
	organisations: [
		{holder: 'acme' as OrganisationName, usualRate: 3.5, rates: new Map([[0, 7.25], [2, 0.5]])},
		{holder: '', usualRate: 0, rates: new Map([[2, 0.5]])},
	],
	flow: {answeredRate: 5.5, waitRate: 2.25, instances: 12},
}];

describe('load messages', () => {
	const reports: readonly LoadReport[] = [
		{
			instance: 'gateway-1' as InstanceId, region: undefined, loads, demand,
		},
		{
			instance: undefined, region: 'north' as RegionName, loads: [], demand: [],
		},
		{
			// Guards against reports of builds that tell no flow.
			instance: 'gateway-2' as InstanceId, region: undefined, loads, demand: [{service: 'ledger' as ServiceName, priorities: [], organisations: []}],
		},
	];
	for (const report of reports) {
		it(`decode what they encode: a report of ${report.instance ?? report.region}`, () => {
			assert.deepEqual(decodeLoadReport(encodeLoadReport(report)).unsafeCoerce(), report);
		});
	}

	it('decode what they encode: an answer', () => {
		assert.deepEqual(decodeLoadAnswer(encodeLoadAnswer({loads, demand})).unsafeCoerce(), {loads, demand});
	});

	// Guards against builds that know only loads, and against new fields where no demand is measured.
	describe('without a demand', () => {
		const report = '{"instance":"gateway-1","loads":[["i-1",3],["i-2",0,250,120]]}';
		const answer = '{"loads":[["i-1",3],["i-2",0,250,120]]}';

		it('are as those of builds that know only loads', () => {
			assert.equal(encodeLoadReport({
				instance: 'gateway-1' as InstanceId, region: undefined, loads, demand: [],
			}), report);
			assert.equal(encodeLoadAnswer({loads, demand: []}), answer);
		});

		it('are read from builds that know only loads', () => {
			assert.deepEqual(decodeLoadReport(report).unsafeCoerce(), {
				instance: 'gateway-1', region: undefined, loads, demand: [],
			});
			assert.deepEqual(decodeLoadAnswer(answer).unsafeCoerce(), {loads, demand: []});
		});

		it('have all that builds that know only loads read, beside a demand', () => {
			const {demand: _reported, ...reported} = JSON.parse(encodeLoadReport({
				instance: 'gateway-1' as InstanceId, region: undefined, loads, demand,
			})) as Record<string, unknown>;
			const {demand: _answered, ...answered} = JSON.parse(encodeLoadAnswer({loads, demand})) as Record<string, unknown>;
			assert.deepEqual([reported, answered], [JSON.parse(report), JSON.parse(answer)]);
		});
	});

	it('leave out the smallest demands where all would take more than 8 kB a second', () => {
		const organisations = Array.from({length: 500}, (_, index) => ({holder: `organisation-${index}` as OrganisationName, usualRate: 1, rates: new Map([[0, index]])}));
		const large = encodeDemands([{...demand[0]!, organisations}]);
		assert.ok(JSON.stringify(large).length <= 1900);
		assert.deepEqual(large![0]![2][0], ['organisation-499', 1, 0, 499]);
	});

	const malformed: ReadonlyArray<{name: string; text: string; message: RegExp}> = [
		{name: 'no JSON', text: '{', message: /JSON/u},
		{name: 'neither an instance nor a region', text: '{"loads":[]}', message: /^instance, region: /u},
		{name: 'both an instance and a region', text: '{"instance":"a","region":"b","loads":[]}', message: /^instance, region: /u},
		{name: 'no loads', text: '{"instance":"a"}', message: /^loads: expected a list/u},
		{name: 'a load that is no list', text: '{"instance":"a","loads":[3]}', message: /^loads: expected a server/u},
		{name: 'a negative number of requests', text: '{"instance":"a","loads":[["i-1",-1]]}', message: /^loads: expected a server/u},
		{name: 'a huge number of requests', text: '{"instance":"a","loads":[["i-1",1e300]]}', message: /^loads: expected a server/u},
		{name: 'a work factor in words', text: '{"instance":"a","loads":[["i-1",1,"fast",1]]}', message: /^loads: expected a server/u},
		{name: 'a demand that is no list', text: '{"instance":"a","loads":[],"demand":{}}', message: /^demand: expected services/u},
		{name: 'a demand of no service', text: '{"instance":"a","loads":[],"demand":[[1,[],[]]]}', message: /^demand: expected services/u},
		{name: 'a negative rate', text: '{"instance":"a","loads":[],"demand":[["s",[[0,-1,0]],[]]]}', message: /^demand: expected services/u},
		{name: 'a priority without its rate', text: '{"instance":"a","loads":[],"demand":[["s",[],[["o",1,0]]]]}', message: /^demand: expected services/u},
		{name: 'a flow without its number of instances', text: '{"instance":"a","loads":[],"demand":[["s",[],[],[1,0]]]}', message: /^demand: expected services/u},
		{name: 'a work factor without its age', text: '{"instance":"a","loads":[["i-1",1,100]]}', message: /^loads: expected a server/u},
	];
	for (const {name, text, message} of malformed) {
		it(`are refused with a clear error: ${name}`, () => {
			assert.match(decodeLoadReport(text).swap().map(error => error.message).orDefault('decoded'), message);
		});
	}

	it('never throw', () => {
		fastCheck.assert(fastCheck.property(fastCheck.json(), text => {
			decodeLoadReport(text);
			decodeLoadAnswer(text);
		}), {seed: 40_601});
	});
});
