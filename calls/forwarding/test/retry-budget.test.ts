import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RetryBudget} from '@pomelopick/calls.forwarding';

const FULL_TOKENS = 50;
const TOKENS_PER_CALL = 0.1;
const TOKENS_PER_SECOND = 5;
const ROUNDING_TOLERANCE = 1e-6;

describe('the retry budget', () => {
	it('grants at most a full bucket, a fraction of the calls and the refill over time, in any order of calls and retries', () => {
		fc.assert(fc.property(fc.array(fc.record({calls: fc.nat(20), retries: fc.nat(40), elapsedMs: fc.nat(500)}), {maxLength: 60}), steps => {
			const budget = new RetryBudget({nowMs: 0});
			let nowMs = 0;
			let calls = 0;
			let taken = 0;
			for (const step of steps) {
				nowMs += step.elapsedMs;
				calls += step.calls;
				for (let call = 0; call < step.calls; call += 1) {
					budget.recordCall();
				}

				for (let retry = 0; retry < step.retries; retry += 1) {
					taken += budget.tryTake({nowMs}) ? 1 : 0;
				}
			}

			assert.ok(taken <= FULL_TOKENS + (TOKENS_PER_CALL * calls) + (TOKENS_PER_SECOND * nowMs / 1000) + ROUNDING_TOLERANCE, `${taken} taken`);
		}), {seed: 6});
	});

	it('lets a service with few calls retry again after a refill', () => {
		const budget = new RetryBudget({nowMs: 0});
		while (budget.tryTake({nowMs: 0})) {
			// Empties the bucket.
		}

		assert.deepEqual([budget.tryTake({nowMs: 100}), budget.tryTake({nowMs: 400})], [false, true]);
	});
});
