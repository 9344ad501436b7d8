/** Guards against less urgent priorities that take the capacity of urgent ones, and against refusals where all fits or nobody knows. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import type {OrganisationName, ServiceName} from '@pomelopick/core.types';
import {findSurplus, FleetDemand} from '@pomelopick/steering.admission';
import type {ServiceDemand} from '@pomelopick/steering.loads';

/** Demand of two organisations in each priority, the first with three quarters of the requests. */
function createDemand({rates, answeredRate, meanWait}: {readonly rates: readonly number[]; readonly answeredRate?: number; readonly meanWait: number}): ServiceDemand {
	const offered = rates.reduce((total, rate) => total + rate, 0);
	const organisations = [0.75, 0.25].map((part, index) => ({holder: `organisation-${index}` as OrganisationName, usualRate: part * offered, rates: new Map(rates.map((rate, priority) => [priority, part * rate]))}));
	return {
		service: 'ledger' as ServiceName,
		priorities: rates.map((offeredRate, priority) => ({priority, offeredRate, admittedRate: offeredRate})),
		organisations,
		...(answeredRate !== undefined && {flow: {answeredRate, waitRate: meanWait * offered, instances: 48}}),
	};
}

describe('findSurplus', () => {
	const cases: ReadonlyArray<{name: string; rates: readonly number[]; answeredRate?: number; meanWait: number; isRising?: boolean; expected: readonly number[] | undefined}> = [
		{
			name: 'nothing while all is answered', rates: [100, 100], answeredRate: 200, meanWait: 0.1, expected: undefined,
		},
		{
			name: 'nothing while most servers have room', rates: [100, 100], answeredRate: 150, meanWait: 0.2, expected: undefined,
		},
		{
			name: 'nothing where instances do not tell what is answered', rates: [100, 100], meanWait: 0.6, expected: undefined,
		},
		{
			name: 'a sudden rise before the waits are long', rates: [200], answeredRate: 100, meanWait: 0.2, isRising: true, expected: [0.5],
		},
		{
			name: 'the least urgent first, with a share for each', rates: [100, 100, 100], answeredRate: 200 / 0.985, meanWait: 0.3, expected: [0, 0.233, 0.767],
		},
		{
			name: 'more when the waits are longer', rates: [100, 100, 100], answeredRate: 200 / 0.985, meanWait: 0.6, expected: [0, 0.314, 0.777],
		},
	];
	for (const {name, isRising = false, expected, ...demand} of cases) {
		it(`finds ${name}`, () => {
			const surplus = findSurplus({demand: createDemand(demand), isRising});
			assert.deepEqual(surplus && [...surplus.values()].map(({mean}) => Number(mean.toFixed(3))), expected);
		});
	}

	it('leaves as much as is answered, no priority without a share, and an organisation at most what it sends', () => {
		const rate = fastCheck.integer({min: 1, max: 1000});
		fastCheck.assert(fastCheck.property(fastCheck.array(rate, {minLength: 1, maxLength: 4}), fastCheck.integer({min: 1, max: 4000}), (rates, answeredRate) => {
			const demand = createDemand({rates, answeredRate, meanWait: 0.25});
			const surplus = findSurplus({demand, isRising: false});
			const offered = rates.reduce((total, one) => total + one, 0);
			const capacity = Math.min(offered, 0.9925 * answeredRate);
			const left = rates.map((one, priority) => one * (1 - (surplus?.get(priority)?.mean ?? 0)));
			assert.ok(Math.abs(left.reduce((total, one) => total + one, 0) - capacity) < 1e-6);
			for (const [priority, one] of rates.entries()) {
				assert.ok(left[priority]! >= (0.35 * capacity * one / offered) - 1e-6);
				const [large, small] = [...surplus?.get(priority)?.byHolder.values() ?? [0, 0]];
				assert.ok(large! >= small! && small! >= 0 && large! <= 1);
			}
		}), {seed: 40_611});
	});
});

describe('the surplus that an instance uses', () => {
	const cases: ReadonlyArray<{name: string; liveInstances: number; ageMs: number; isUsed: boolean}> = [
		{
			name: 'is that of the fleet', liveInstances: 48, ageMs: 1500, isUsed: true,
		},
		{
			name: 'does not wait for the last instances of a fleet', liveInstances: 64, ageMs: 1500, isUsed: true,
		},
		{
			name: 'is not that of a part of the fleet', liveInstances: 65, ageMs: 1500, isUsed: false,
		},
		{
			name: 'is not that of long ago', liveInstances: 48, ageMs: 1501, isUsed: false,
		},
	];
	for (const {name, liveInstances, ageMs, isUsed} of cases) {
		it(name, () => {
			const fleet = new FleetDemand();
			fleet.apply({demand: createDemand({rates: [100, 100], answeredRate: 150, meanWait: 0.5}), liveInstances, nowMs: 0});
			assert.equal(fleet.surplusOf({holder: '', priority: 1, nowMs: ageMs}) !== undefined, isUsed);
		});
	}
});
