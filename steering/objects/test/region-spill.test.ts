import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RegionSpill} from '@pomelopick/steering.objects';

/** Required maximum share of a region's requests that change their region from one window to the next. */
const MAX_CHANGE = 0.15;
const WINDOW_MS = 2000;

function recordPlacements({spill, waitMs, fromMs, durationMs}: {readonly spill: RegionSpill; readonly waitMs: number; readonly fromMs: number; readonly durationMs: number}): readonly number[] {
	const shares: number[] = [];
	for (let nowMs = fromMs; nowMs < fromMs + durationMs; nowMs += 10) {
		spill.record({waitMs, expectedMs: 200, nowMs});
		shares.push(spill.share);
	}

	return shares;
}

describe('RegionSpill', () => {
	const loads: ReadonlyArray<{name: string; waitMs: number; durationMs: number}> = [
		{name: 'increases', waitMs: 500, durationMs: 20_000},
		{name: 'decreases', waitMs: 0, durationMs: 20_000},
	];
	for (const {name, waitMs, durationMs} of loads) {
		it(`${name} the share by less than the allowed change in a window`, () => {
			const spill = new RegionSpill({slotShare: 0.1, callerShare: 0.5, nowMs: 0});
			const shares = recordPlacements({
				spill, waitMs, fromMs: 0, durationMs,
			});
			const step = WINDOW_MS / 10;
			for (let index = step; index < shares.length; index += 1) {
				assert.ok(Math.abs(shares[index]! - shares[index - step]!) < MAX_CHANGE);
			}

			assert.notEqual(shares.at(-1), shares[0]);
		});
	}

	const starts: ReadonlyArray<{name: string; slotShare: number; callerShare: number; expected: number}> = [
		{
			name: 'no spill when the region has a larger share of the servers than of the callers', slotShare: 0.4, callerShare: 0.3, expected: 0,
		},
		{
			name: 'the share of the callers for which the region has no servers', slotShare: 0.1, callerShare: 0.4, expected: 0.75,
		},
		{
			name: 'all objects when the region has no servers', slotShare: 0, callerShare: 0.3, expected: 1,
		},
	];
	for (const {name, slotShare, callerShare, expected} of starts) {
		it(`starts with ${name}`, () => {
			assert.equal(new RegionSpill({slotShare, callerShare, nowMs: 0}).share, expected);
		});
	}
});
