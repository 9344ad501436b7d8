import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createObjectPolicy, createUnevenWorld, play} from '@pomelopick/testing.placement-model';
import type {PlayFigures} from '@pomelopick/testing.placement-model';

/** Time from which the shares of the regions are compared, in milliseconds. */
const COUNTED_FROM_MS = 3000;
const DURATION_MS = 16_000;
/** Required maximum difference of the share of served requests of a region from the mean of the others. */
const MAX_DIFFERENCE = 0.05;
const MAX_SHIFT = 0.15;
/** Load at which the slots of all regions suffice, with the work on objects that are not in memory. */
const LOAD = 0.2;

function servedByRegion({sharesByRegion}: PlayFigures): ReadonlyArray<readonly [string, number]> {
	return [...sharesByRegion].map(([name, shares]) => [name, shares['in-target'] + shares.late]);
}

describe('the product\'s placement with uneven regions and servers', () => {
	// Guards against a region whose callers overload its few servers, and against load that regions push onto each other.
	for (const seed of [1, 2]) {
		it(`serves a third of the demand at a tenth of the slots like the rest, with no region above its slots (seed ${seed})`, () => {
			const figures = play({
				world: createUnevenWorld(LOAD), createPolicy: createObjectPolicy, seed, durationMs: DURATION_MS, countedFromMs: COUNTED_FROM_MS,
			});
			const served = servedByRegion(figures);
			for (const [name, share] of served) {
				const others = served.filter(([other]) => other !== name);
				const mean = others.reduce((sum, [, other]) => sum + other, 0) / others.length;
				assert.ok(Math.abs(share - mean) <= MAX_DIFFERENCE, `${name}: ${share}, the others ${mean}`);
			}

			assert.ok(figures.peakRegionLoad <= 1, `a region had ${figures.peakRegionLoad} requests in flight for each slot`);
			assert.ok(figures.maxShift <= MAX_SHIFT, `${figures.maxShift} of a region's requests changed their region`);
		});
	}

	// Guards against requests lost with a region, and against a return at once to servers that have lost their memory.
	it('serves the callers of all regions while a region is lost, and shifts less than allowed when it returns', () => {
		const world = createUnevenWorld(LOAD, {outage: {region: 'middle', fromMs: 4000, untilMs: 8000}});
		const figures = play({
			world, createPolicy: createObjectPolicy, seed: 1, durationMs: DURATION_MS, countedFromMs: COUNTED_FROM_MS,
		});
		assert.ok(servedByRegion(figures).every(([, share]) => share > 0.95), JSON.stringify(servedByRegion(figures)));
		assert.ok(figures.maxShift <= MAX_SHIFT, String(figures.maxShift));
	});
});
