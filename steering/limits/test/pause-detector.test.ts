import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PauseDetector} from '@pomelopick/steering.limits';

const cases: ReadonlyArray<{name: string; monotonicMs: number; wallClockMs: number; expected: number}> = [
	{
		name: 'no pause while both clocks advance', monotonicMs: 5000, wallClockMs: 5010, expected: 0,
	},
	{
		name: 'a pause in which the monotonic clock stopped', monotonicMs: 10, wallClockMs: 3010, expected: 3000,
	},
	{
		name: 'no pause when the wall clock is set back', monotonicMs: 1000, wallClockMs: -1000, expected: 0,
	},
	{
		name: 'a pause when the wall clock is set forward', monotonicMs: 1000, wallClockMs: 3000, expected: 2000,
	},
];

describe('PauseDetector', () => {
	for (const {name, monotonicMs, wallClockMs, expected} of cases) {
		it(`reports ${name}`, () => {
			const detector = new PauseDetector({monotonicMs: 0, wallClockMs: 0});
			assert.equal(detector.check({monotonicMs, wallClockMs}), expected);
			assert.equal(detector.check({monotonicMs: monotonicMs + 1, wallClockMs: wallClockMs + 1}), 0);
		});
	}
});
