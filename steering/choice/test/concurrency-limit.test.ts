import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConcurrencyLimit} from '@pomelopick/steering.choice';
import type {SlotEnd} from '@pomelopick/steering.choice';

const cases: ReadonlyArray<{name: string; ends: readonly SlotEnd[]; isPaused: boolean}> = [
	{name: 'one failure', ends: ['answered', 'failed'], isPaused: false},
	{name: 'two failures in a row', ends: ['failed', 'failed'], isPaused: true},
	{name: 'two failures with an answer in between', ends: ['failed', 'answered', 'failed'], isPaused: false},
	{name: 'a failed connection attempt', ends: ['connect-failed'], isPaused: true},
	{name: 'a request that was shed', ends: ['shed'], isPaused: true},
];

describe('ConcurrencyLimit', () => {
	for (const {name, ends, isPaused} of cases) {
		it(`${isPaused ? 'pauses a server' : 'does not pause a server'} after ${name}`, () => {
			const limit = new ConcurrencyLimit({slots: 4});
			for (const end of ends) {
				limit.recordEnd({end, heldMs: 10, nowMs: 0});
			}

			assert.equal(limit.isPaused(10), isPaused);
			assert.equal(limit.proven <= 4, true);
		});
	}
});
