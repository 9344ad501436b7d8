import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StallDetector} from '@pomelopick/peer.membership';

const cases: ReadonlyArray<{name: string; ticksMs: readonly number[]; expected: readonly boolean[]; isRecentAtMs: number; isRecent: boolean}> = [
	{
		name: 'no stall while ticks are on time', ticksMs: [1000, 2050, 3300], expected: [false, false, false], isRecentAtMs: 3300, isRecent: false,
	},
	{
		name: 'a recent stall when a tick was late', ticksMs: [1000, 2400], expected: [false, true], isRecentAtMs: 4300, isRecent: true,
	},
	{
		name: 'no recent stall two seconds later', ticksMs: [1000, 2400, 3400], expected: [false, true, false], isRecentAtMs: 4400, isRecent: false,
	},
];

describe('StallDetector', () => {
	for (const {name, ticksMs, expected, isRecentAtMs, isRecent} of cases) {
		it(`reports ${name}`, () => {
			const detector = new StallDetector({intervalMs: 1000});
			detector.start(0);
			assert.deepEqual(ticksMs.map(nowMs => detector.tick(nowMs)), expected);
			assert.equal(detector.isRecent(isRecentAtMs), isRecent);
		});
	}
});
