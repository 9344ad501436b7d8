import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	loadBound, planRegionShares, RegionSpread, toShares,
} from '@pomelopick/steering.objects';
import type {RegionShares} from '@pomelopick/steering.objects';
import type {RegionName} from '@pomelopick/core.types';

/** Required maximum share of a region's requests that change their region from one interval to the next. */
const MAX_SHIFT = 0.15;
const INTERVAL_MS = 2000;
const TICK_MS = 100;
/** Smoothing of the loads that instances measure: weight of the present in each tick. */
const MEASURED_WEIGHT = 0.02;
const RUNS = 60;
const STEADY_RUNS = 40;
/** Ticks after which the shares are considered steady. */
const STEADY_TICKS = 2500;

const names = ['north', 'south', 'west'] as RegionName[];

interface PlayedRegion {
	readonly name: RegionName;
	readonly slots: number;
	/** Requests in flight that its callers cause. */
	readonly demand: number;
}

interface PlayRegionsOptions {
	readonly regions: readonly PlayedRegion[];
	readonly ticks: number;
	/** Region that has no servers from one tick until another. */
	readonly lost?: {readonly name: RegionName; readonly from: number; readonly until: number};
}

/** Plays the shares of three regions against each other; the load of a region is what all of them send there over its slots. Returns the shares of each tick. */
function playRegions({regions, ticks, lost}: PlayRegionsOptions): ReadonlyArray<ReadonlyMap<RegionName, RegionShares>> {
	const spreads = regions.map(({name}) => ({name, spread: new RegionSpread({region: name})}));
	const demand = toShares(new Map(names.map(name => [name, 1])));
	const measured = new Map<RegionName, number>();
	return Array.from({length: ticks}, (_, tick) => {
		const isLost = (name: RegionName): boolean => lost?.name === name && tick >= lost.from && tick < lost.until;
		const slots = new Map(regions.filter(({name}) => !isLost(name)).map(({name, slots}): [RegionName, number] => [name, slots]));
		for (const {name, spread} of spreads) {
			spread.update({
				plan: planRegionShares({region: name, slots, demand}), slotShares: toShares(slots), loads: measured, nowMs: tick * TICK_MS,
			});
		}

		for (const [name, count] of slots) {
			const sent = spreads.reduce((sum, {spread}, index) => sum + (regions[index]!.demand * (spread.shares.get(name) ?? 0)), 0);
			const before = measured.get(name) ?? sent / count;
			measured.set(name, before + (MEASURED_WEIGHT * ((sent / count) - before)));
		}

		return new Map(spreads.map(({name, spread}) => [name, spread.shares]));
	});
}

function shiftBetween(before: RegionShares, after: RegionShares): number {
	return names.reduce((sum, name) => sum + Math.max(0, (after.get(name) ?? 0) - (before.get(name) ?? 0)), 0);
}

function maxShift({played, from}: {readonly played: ReadonlyArray<ReadonlyMap<RegionName, RegionShares>>; readonly from: number}): number {
	const ticks = INTERVAL_MS / TICK_MS;
	return Math.max(...played.slice(from, -ticks).flatMap((shares, index) => names.map(name => shiftBetween(shares.get(name)!, played[from + index + ticks]!.get(name)!))));
}

/** Shares of the slots of all regions that the callers of all regions use. */
const TOTAL_LOADS = [0.2, 0.5, 0.8, 0.95];
/** Requests in flight between regions, and differences of loads, that are considered none. */
const NEGLIGIBLE = 0.01;

/** Checks the load of each region for each slot, and the requests in flight on each link, against the plan and what exceeds the bound of the correction. */
function checkFlows({regions, shares, totalLoad}: {readonly regions: readonly PlayedRegion[]; readonly shares: ReadonlyMap<RegionName, RegionShares>; readonly totalLoad: number}): void {
	const demand = toShares(new Map(names.map(name => [name, 1])));
	const slots = new Map(regions.map(({name, slots}) => [name, slots]));
	const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);
	const othersOf = (region: PlayedRegion): readonly PlayedRegion[] => regions.filter(other => other !== region);
	const flow = (from: PlayedRegion, to: PlayedRegion): number => from.demand * (shares.get(from.name)!.get(to.name) ?? 0);
	const load = (to: PlayedRegion): number => sum(regions.map(from => flow(from, to))) / to.slots;
	for (const from of regions) {
		assert.ok(load(from) <= 1, `${from.name} has a load of ${load(from)}`);
		const plan = planRegionShares({region: from.name, slots, demand});
		const planned = (to: PlayedRegion): number => from.demand * (plan.get(to.name) ?? 0);
		const others = othersOf(from);
		const excess = Math.max(0, from.demand + sum(others.map(other => flow(other, from))) - (from.slots * loadBound(totalLoad)));
		const leaving = sum(others.map(to => flow(from, to)));
		assert.ok(leaving <= Math.max(excess, sum(others.map(to => planned(to)))) + NEGLIGIBLE, `${leaving} from ${from.name}`);
		for (const to of others) {
			const redirected = sum(others.filter(other => other !== to && load(other) >= loadBound(totalLoad) - NEGLIGIBLE).map(other => planned(other)));
			assert.ok(flow(from, to) <= planned(to) + redirected + excess + NEGLIGIBLE, `${flow(from, to)} from ${from.name} to ${to.name}`);
			assert.ok(Math.min(flow(from, to), flow(to, from)) <= NEGLIGIBLE, `${from.name} and ${to.name} send each other ${flow(from, to)} and ${flow(to, from)}`);
		}
	}
}

/** Scales the demand of regions to a load of all their slots together. */
function scaleDemand({regions, totalLoad}: {readonly regions: readonly PlayedRegion[]; readonly totalLoad: number}): readonly PlayedRegion[] {
	const slots = regions.reduce((sum, region) => sum + region.slots, 0);
	const demand = regions.reduce((sum, region) => sum + region.demand, 0);
	return regions.map(region => ({...region, demand: region.demand * totalLoad * slots / demand}));
}

const region = fc.record({slots: fc.integer({min: 10, max: 300}), demand: fc.integer({min: 1, max: 300})});

describe('RegionSpread', () => {
	it('has the planned shares at the first request', () => {
		const spread = new RegionSpread({region: names[2]!});
		const plan = new Map([[names[0]!, 0.7], [names[2]!, 0.3]]);
		spread.update({
			plan, slotShares: new Map([[names[0]!, 0.9], [names[2]!, 0.1]]), loads: new Map(), nowMs: 5,
		});
		assert.deepEqual(spread.shares, plan);
	});

	// Guards against regions that push load onto each other in turns, and against shifts of more requests than allowed.
	it('settles for any demand and any slots, and shifts less than allowed', () => {
		fc.assert(fc.property(region, region, region, (...drawn) => {
			const regions = drawn.map((drawnRegion, index) => ({...drawnRegion, name: names[index]!}));
			const played = playRegions({regions, ticks: 1500});
			assert.ok(maxShift({played, from: 0}) <= MAX_SHIFT);
			assert.ok(maxShift({played, from: 1300}) <= 0.01, `still shifting ${maxShift({played, from: 1300})}`);
		}), {numRuns: RUNS, seed: 1});
	});

	for (const totalLoad of TOTAL_LOADS) {
		// Guards against a region that is overloaded while others have room, against links that carry what its slots could serve, and against regions that exchange their requests.
		it(`loads no region above its slots, and its links with what exceeds them alone, at ${totalLoad} of all slots`, () => {
			fc.assert(fc.property(region, region, region, (...drawn) => {
				const regions = scaleDemand({regions: drawn.map((drawnRegion, index) => ({...drawnRegion, name: names[index]!})), totalLoad});
				const played = playRegions({regions, ticks: STEADY_TICKS});
				assert.ok(maxShift({played, from: 0}) <= MAX_SHIFT);
				checkFlows({regions, shares: played.at(-1)!, totalLoad});
			}), {numRuns: STEADY_RUNS, seed: 1});
		});
	}

	it('sends requests of a loaded region to one that has room although the plan keeps them', () => {
		const regions = [{name: names[0]!, slots: 100, demand: 150}, {name: names[1]!, slots: 100, demand: 20}, {name: names[2]!, slots: 100, demand: 20}];
		const last = playRegions({regions, ticks: 1000}).at(-1)!;
		const away = 1 - (last.get(names[0]!)!.get(names[0]!) ?? 0);
		assert.ok(away > 0.2 && away < 0.6, String(away));
		assert.equal(last.get(names[1]!)!.get(names[1]!), 1);
	});

	// Guards against requests that go nowhere when the only planned region is loaded.
	it('sends requests of a region without servers to the region that has room', () => {
		const spread = new RegionSpread({region: names[2]!});
		for (let nowMs = 0; nowMs < 120_000; nowMs += INTERVAL_MS) {
			spread.update({
				plan: new Map([[names[0]!, 1]]), slotShares: new Map([[names[0]!, 0.5], [names[1]!, 0.5]]), loads: new Map([[names[0]!, 1.5], [names[1]!, 0.2]]), nowMs,
			});
		}

		assert.deepEqual(spread.shares, new Map([[names[1]!, 1]]));
	});

	// Guards against requests that wait for a lost region, and against a returning region whose cold servers get all of them at once.
	it('leaves a lost region at once, and returns in steps', () => {
		const regions = [{name: names[0]!, slots: 56, demand: 40}, {name: names[1]!, slots: 68, demand: 40}, {name: names[2]!, slots: 14, demand: 40}];
		const played = playRegions({regions, ticks: 900, lost: {name: names[1]!, from: 100, until: 300}});
		for (const name of names) {
			assert.equal(played[100]!.get(name)!.get(names[1]!) ?? 0, 0);
		}

		assert.ok(maxShift({played, from: 101}) <= MAX_SHIFT);
		assert.ok(Math.abs((played.at(-1)!.get(names[2]!)!.get(names[1]!) ?? 0) - (played[99]!.get(names[2]!)!.get(names[1]!) ?? 0)) < 0.05);
	});
});
