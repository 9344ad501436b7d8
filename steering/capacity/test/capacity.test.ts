import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {ConfigurationSet, RegionName, ServiceName} from '@pomelopick/core.types';
import {expectedWaitMs, listRegionChoices, spillSlots} from '@pomelopick/steering.capacity';

const SEED = 9;

describe('spillSlots', () => {
	it('never lets calls of other regions use all slots of a region, nor take slots before its waiting calls', () => {
		fc.assert(fc.property(fc.nat(500), fc.nat(500), fc.nat(500), (provenSlots, inUse, waiting) => {
			const slots = spillSlots({provenSlots, inUse, waiting});
			assert.ok(slots === 0 || inUse + waiting + slots <= Math.max(1, provenSlots * 0.9));
			assert.ok(provenSlots > 0 || slots === 0);
		}), {seed: SEED});
	});
});

describe('expectedWaitMs', () => {
	const cases = [
		{
			name: 'is 0 while a slot is free', load: {provenSlots: 4, inUse: 3, waiting: 0}, expected: 0,
		},
		{
			name: 'is the mean time until one of the slots is released when all are in use', load: {provenSlots: 4, inUse: 4, waiting: 0}, expected: 25,
		},
		{
			name: 'grows with the number of waiting calls', load: {provenSlots: 4, inUse: 4, waiting: 7}, expected: 200,
		},
	];
	for (const {name, load, expected} of cases) {
		it(name, () => {
			assert.equal(expectedWaitMs({...load, holdMs: 100}), expected);
		});
	}
});

describe('listRegionChoices', () => {
	const service = 'ledger' as ServiceName;
	const [home, near, far] = ['highland', 'central', 'borders'] as unknown as [RegionName, RegionName, RegionName];
	const shift = {
		name: 'ease', service, from: home, to: near, capCallsPerSecond: 10, rampMs: 0,
	};
	const rule = {
		name: 'spill', service, from: home, to: [near, far],
	};
	const cases = [
		{
			name: 'returns the home region alone without rules', shifts: [], spillRules: [], expected: [[home, 'home', false]],
		},
		{
			name: 'returns the regions of a spill rule in its order', shifts: [], spillRules: [rule], expected: [[home, 'home', false], [near, 'spill', false], [far, 'spill', false]],
		},
		{
			name: 'returns the target of a shift first', shifts: [shift], spillRules: [rule], expected: [[near, 'shift', true], [home, 'home', false], [far, 'spill', false]],
		},
		{
			name: 'attaches the shift that a rule names', shifts: [shift], spillRules: [{...rule, shift: 'ease'}], expected: [[home, 'home', false], [near, 'spill', true], [far, 'spill', false]],
		},
	];
	for (const {name, shifts, spillRules, expected} of cases) {
		it(name, () => {
			const choices = listRegionChoices({set: {shifts, spillRules} as unknown as ConfigurationSet, service, home});
			assert.deepEqual(choices.map(choice => [choice.region, choice.kind, choice.shift !== undefined]), expected);
		});
	}
});
