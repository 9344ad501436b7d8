import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestPermits} from '@pomelopick/calls.relay';

function createPermit() {
	const told: string[] = [];
	return {
		told,
		permit: {
			end() {
				told.push('end');
			},
			giveBack() {
				told.push('given back');
			},
		},
	};
}

const cases: ReadonlyArray<{name: string; act: (permits: RequestPermits) => void; expected: readonly string[]}> = [
	{
		name: 'ends with a send that was made', act(permits) {
			permits.settle({permit: permits.use()!, wasSent: true});
			permits.close();
		}, expected: ['end'],
	},
	{
		name: 'is given back when it was not used', act(permits) {
			permits.close();
		}, expected: ['given back'],
	},
	{
		name: 'serves the next send when the first was not made', act(permits) {
			permits.settle({permit: permits.use()!, wasSent: false});
			permits.settle({permit: permits.use()!, wasSent: true});
			permits.close();
		}, expected: ['end'],
	},
	{
		name: 'is given back by an attempt that ends after its request, without a send', act(permits) {
			const permit = permits.use()!;
			permits.close();
			permits.settle({permit, wasSent: false});
		}, expected: ['given back'],
	},
	{
		name: 'ends with a send that ends after its request', act(permits) {
			const permit = permits.use()!;
			permits.close();
			permits.settle({permit, wasSent: true});
		}, expected: ['end'],
	},
];

describe('a permit for a further send', () => {
	for (const {name, act, expected} of cases) {
		it(name, () => {
			const permits = new RequestPermits();
			const {permit, told} = createPermit();
			permits.add(permit);
			act(permits);
			assert.deepEqual(told, expected);
			assert.equal(permits.use(), undefined);
		});
	}
});
