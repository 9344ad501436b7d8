import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {APPLIED_MS, checkReturns, runReturnRound} from '@pomelopick/testing.gateway-soak';
import type {CheckReturnsOptions, OperatorChange, TracedCall} from '@pomelopick/testing.gateway-soak';

const SEED = 40_301;

const change: OperatorChange = {
	description: 'configuration 2', closedServers: ['server-1'], version: 2, fromMs: 1000, toMs: 1000 + APPLIED_MS + 2000,
};
const call = {
	answer: {
		requestId: 'a', status: 200, headers: {}, text: '',
	}, instance: 'gateway-0',
} as unknown as TracedCall;
const lateMs = change.fromMs + APPLIED_MS + 100;
const applied = {
	instance: 'gateway-0', process: 1, version: 2, atMs: 1500,
};

const cases: ReadonlyArray<{name: string; changes: Partial<CheckReturnsOptions>; kinds: readonly string[]}> = [
	{name: 'nothing', changes: {}, kinds: []},
	{name: 'a request to a closed server in time', changes: {arrivals: [{requestId: 'a', server: 'server-1', atMs: lateMs - 200}]}, kinds: []},
	{name: 'a late request to another server', changes: {arrivals: [{requestId: 'a', server: 'server-2', atMs: lateMs}]}, kinds: []},
	{name: 'a late request to a closed server', changes: {arrivals: [{requestId: 'a', server: 'server-1', atMs: lateMs}]}, kinds: ['missed-change']},
	{
		name: 'a late request of a gateway that was paused',
		changes: {
			arrivals: [{requestId: 'a', server: 'server-1', atMs: lateMs}], disturbances: [{
				subject: 'gateway-0', fault: 'pause', fromMs: lateMs - 500, toMs: lateMs - 100,
			}],
		},
		kinds: [],
	},
	{
		name: 'a late request of a gateway beside another one that was paused',
		changes: {
			arrivals: [{requestId: 'a', server: 'server-1', atMs: lateMs}], disturbances: [{
				subject: 'gateway-1', fault: 'pause', fromMs: lateMs - 500, toMs: lateMs - 100,
			}],
		},
		kinds: ['missed-change'],
	},
	{name: 'a configuration that came into force late', changes: {versions: [{...applied, atMs: lateMs}]}, kinds: ['missed-change']},
	{name: 'an earlier configuration after a later one', changes: {versions: [applied, {...applied, version: 1, atMs: 2000}]}, kinds: ['went-back']},
	{name: 'an earlier configuration in another process', changes: {versions: [applied, {...applied, process: 2, version: 1}]}, kinds: []},
];

describe('the check of returns of the store', () => {
	for (const {name, changes, kinds} of cases) {
		it(`finds ${kinds.join(', ') || 'nothing'} in ${name}`, () => {
			const violations = checkReturns({
				changes: [change], calls: [call], arrivals: [], versions: [applied], instances: ['gateway-0'], disturbances: [], ...changes,
			});
			assert.deepEqual(violations.map(({kind}) => kind), kinds);
		});
	}
});

describe('gateways whose store returns from older copies while other faults affect them', () => {
	it(`learn of each change in time and go back to no configuration (seed ${SEED})`, async () => {
		const {violations, changes, calls, answered} = await runReturnRound({seed: SEED, returns: 3});
		assert.deepEqual(violations, [], changes.join(', '));
		assert.ok(answered > calls / 2, `${answered} of ${calls} calls were answered`);
	});

	it(`refuse no request by the returns alone (seed ${SEED + 1})`, async () => {
		const {violations, changes, calls, answered} = await runReturnRound({seed: SEED + 1, returns: 3, hasOtherFaults: false});
		assert.deepEqual(violations, [], changes.join(', '));
		assert.equal(answered, calls, 'calls that were answered');
	});
});
