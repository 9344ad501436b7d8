import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ShiftGuard} from '@pomelopick/steering.shifts';

describe('ShiftGuard', () => {
	const cases = [
		{
			name: 'aborts when calls fail', isGood: false, heldMs: 10, expected: 0,
		},
		{
			name: 'stays open when calls are answered', isGood: true, heldMs: 10, expected: 1,
		},
		{
			name: 'aborts when calls get much slower', isGood: true, heldMs: 100, expected: 0,
		},
	];
	for (const {name, isGood, heldMs, expected} of cases) {
		it(name, () => {
			const aborts: string[] = [];
			const guard = new ShiftGuard({
				rampMs: 0, nowMs: 0, onAbort(detail) {
					aborts.push(detail);
				},
			});
			for (let nowMs = 100; nowMs <= 2500; nowMs += 100) {
				guard.recordUse({isGood: true, heldMs: 10, nowMs});
			}

			for (let nowMs = 2600; nowMs <= 5500; nowMs += 100) {
				guard.recordUse({isGood, heldMs, nowMs});
			}

			assert.equal(guard.share(5600), expected);
			assert.equal(aborts.length, 1 - expected);
		});
	}

	it('opens the cap along the ramp', () => {
		const guard = new ShiftGuard({
			rampMs: 10_000, nowMs: 0, onAbort() {/* Not called in this test. */},
		});
		assert.ok(guard.share(0) < 0.1 && guard.share(5000) < 0.6 && guard.share(10_000) === 1);
	});
});
