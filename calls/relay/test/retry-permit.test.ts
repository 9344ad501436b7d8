import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestPermits} from '@pomelopick/calls.relay';

function createPermit() {
	const calls: string[] = [];
	return {
		calls,
		permit: {
			end() {
				calls.push('end');
			},
			giveBack() {
				calls.push('given back');
			},
		},
	};
}

const cases: ReadonlyArray<{name: string; act: (permits: RequestPermits) => void; expected: readonly string[]}> = [
	{
		name: 'is ended by the attempt that sent the request', act(permits) {
			permits.settle({permit: permits.use()!, wasSent: true});
			permits.close();
		}, expected: ['end'],
	},
	{
		name: 'is given back if it was not used', act(permits) {
			permits.close();
		}, expected: ['given back'],
	},
	{
		name: 'is reused if nothing was sent', act(permits) {
			permits.settle({permit: permits.use()!, wasSent: false});
			permits.settle({permit: permits.use()!, wasSent: true});
			permits.close();
		}, expected: ['end'],
	},
	{
		name: 'is given back by an attempt that ends after its request and sent nothing', act(permits) {
			const permit = permits.use()!;
			permits.close();
			permits.settle({permit, wasSent: false});
		}, expected: ['given back'],
	},
	{
		name: 'is ended by an attempt that ends after its request and sent it', act(permits) {
			const permit = permits.use()!;
			permits.close();
			permits.settle({permit, wasSent: true});
		}, expected: ['end'],
	},
];

describe('a retry permit', () => {
	for (const {name, act, expected} of cases) {
		it(name, () => {
			const permits = new RequestPermits();
			const {permit, calls} = createPermit();
			permits.add(permit);
			act(permits);
			assert.deepEqual(calls, expected);
			assert.equal(permits.use(), undefined);
		});
	}
});
