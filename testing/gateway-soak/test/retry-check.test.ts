import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findWorstWindow, checkRetries} from '@pomelopick/testing.gateway-soak';

const bounds = {ratio: 0.2, allowance: 2, windowMs: 10_000};
const arrivalsAt = (times: readonly number[]) => times.map(atMs => ({requestId: 'a', server: 'one', atMs}));

const cases: ReadonlyArray<{name: string; sentAtMs: readonly number[]; arrivalsAtMs: readonly number[]; excess: number | undefined}> = [
	{
		name: 'nothing if nothing was repeated', sentAtMs: [0], arrivalsAtMs: [10], excess: undefined,
	},
	{
		name: 'every arrival except the first', sentAtMs: [0], arrivalsAtMs: [10, 20, 30, 40], excess: 0.8,
	},
	{
		name: 'two windows separately', sentAtMs: [0], arrivalsAtMs: [10, 20, 30, 10_040], excess: -0.2,
	},
	{
		name: 'an excess across the middle of fixed windows', sentAtMs: [0], arrivalsAtMs: [10, 9000, 9500, 11_000, 12_000], excess: 1.8,
	},
	{
		name: 'the ratio of requests in the previous window', sentAtMs: Array.from({length: 10}, () => 0), arrivalsAtMs: [0, 9000, 9001, 9002, 9003, 9004], excess: 1,
	},
	{
		name: 'no ratio of requests that are too old for the window', sentAtMs: Array.from({length: 10}, () => 0), arrivalsAtMs: [0, 15_000, 15_001, 15_002], excess: 1,
	},
];

describe('findWorstWindow', () => {
	for (const {name, sentAtMs, arrivalsAtMs, excess} of cases) {
		it(`counts ${name}`, () => {
			const worst = findWorstWindow({bounds, sentAtMs, arrivals: arrivalsAt(arrivalsAtMs)});
			assert.equal(worst && Number(worst.excess.toFixed(3)), excess);
		});
	}

	it('reports a violation only above the bound', () => {
		const check = (repeats: number) => checkRetries({bounds, sentAtMs: [], arrivals: arrivalsAt(Array.from({length: repeats + 1}, (_, index) => index))});
		assert.deepEqual(check(2), []);
		assert.deepEqual(check(3).map(({kind}) => kind), ['retry-budget']);
	});
});
