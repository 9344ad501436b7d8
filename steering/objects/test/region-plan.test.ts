import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planRegionShares} from '@pomelopick/steering.objects';
import type {RegionName} from '@pomelopick/core.types';

type Numbers = Readonly<Record<string, number>>;

const even: Numbers = {north: 1 / 3, south: 1 / 3, west: 1 / 3};

const cases: ReadonlyArray<{name: string; region: string; slots: Numbers; demand?: Numbers; shares: Numbers}> = [
	{
		name: 'keeps the demand of a region with enough slots', region: 'north', slots: {north: 56, south: 68, west: 14}, shares: {north: 1},
	},
	{
		name: 'spreads what a region with few slots cannot serve by the slots that others have left over',
		region: 'west',
		slots: {north: 56, south: 68, west: 14},
		shares: {west: 0.304, north: 0.218, south: 0.478},
	},
	{
		name: 'sends everything from a region without slots to those that have some left over', region: 'west', slots: {north: 40, south: 60}, shares: {north: 0.2, south: 0.8},
	},
	{
		name: 'keeps everything in the only region with slots', region: 'west', slots: {west: 4}, shares: {west: 1},
	},
	{
		name: 'has no shares without slots', region: 'west', slots: {}, shares: {},
	},
	{
		name: 'spreads by slots from a region without assumed callers', region: 'other', slots: {north: 1, south: 3}, shares: {north: 0.25, south: 0.75}, demand: {north: 0, south: 0},
	},
];

const toMap = (numbers: Numbers): ReadonlyMap<RegionName, number> => new Map(Object.entries(numbers) as Array<[RegionName, number]>);

describe('planRegionShares', () => {
	for (const {
		name, region, slots, demand = even, shares,
	} of cases) {
		it(name, () => {
			const planned = planRegionShares({region: region as RegionName, slots: toMap(slots), demand: toMap(demand)});
			assert.deepEqual(new Set(planned.keys()), new Set(Object.keys(shares)));
			for (const [name, share] of toMap(shares)) {
				assert.ok(Math.abs(planned.get(name)! - share) < 0.001, `${name}: ${planned.get(name)}`);
			}
		});
	}
});
