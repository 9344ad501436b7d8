import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RegionSpill} from '@pomelopick/steering.objects';

/** Share of a region's requests that may change their region from one window to the next, as the users state it. */
const MOST_CHANGE = 0.15;
const WINDOW_MS = 2000;

function play({spill, waitMs, fromMs, durationMs}: {readonly spill: RegionSpill; readonly waitMs: number; readonly fromMs: number; readonly durationMs: number}): readonly number[] {
	const shares: number[] = [];
	for (let nowMs = fromMs; nowMs < fromMs + durationMs; nowMs += 10) {
		spill.record({waitMs, expectedMs: 200, nowMs});
		shares.push(spill.share);
	}

	return shares;
}

describe('RegionSpill', () => {
	const loads: ReadonlyArray<{name: string; waitMs: number; durationMs: number}> = [
		{name: 'grows', waitMs: 500, durationMs: 20_000},
		{name: 'shrinks', waitMs: 0, durationMs: 20_000},
	];
	for (const {name, waitMs, durationMs} of loads) {
		it(`${name} by no more than may change in a window`, () => {
			const spill = new RegionSpill({slotShare: 0.1, callerShare: 0.5, nowMs: 0});
			const shares = play({
				spill, waitMs, fromMs: 0, durationMs,
			});
			const step = WINDOW_MS / 10;
			for (let index = step; index < shares.length; index += 1) {
				assert.ok(Math.abs(shares[index]! - shares[index - step]!) < MOST_CHANGE);
			}

			assert.notEqual(shares.at(-1), shares[0]);
		});
	}

	const starts: ReadonlyArray<{name: string; slotShare: number; callerShare: number; expected: number}> = [
		{
			name: 'nothing where servers stand as callers do', slotShare: 0.4, callerShare: 0.3, expected: 0,
		},
		{
			name: 'what is missing', slotShare: 0.1, callerShare: 0.4, expected: 0.75,
		},
		{
			name: 'all where there are no servers', slotShare: 0, callerShare: 0.3, expected: 1,
		},
	];
	for (const {name, slotShare, callerShare, expected} of starts) {
		it(`starts with ${name}`, () => {
			assert.equal(new RegionSpill({slotShare, callerShare, nowMs: 0}).share, expected);
		});
	}
});
