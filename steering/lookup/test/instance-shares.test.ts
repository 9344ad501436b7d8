/** Guards against small instances that get as many callers as large ones, and against callers that are sent to other instances at each answer. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {chooseByCapacity, SharedAddresses} from '@pomelopick/steering.lookup';
import type {SizedInstance} from '@pomelopick/steering.lookup';
import type {InstanceCapacity} from '@pomelopick/core.types';

const large: InstanceCapacity = {cores: 1.35, linkMbps: 140};
const small: InstanceCapacity = {cores: 0.19, linkMbps: 7};
const CALLERS = 4000;
const TIME_TO_LIVE_MS = 2000;

function createInstances({larges, smalls, capacity = small}: {readonly larges: number; readonly smalls: number; readonly capacity?: InstanceCapacity | undefined}): readonly SizedInstance[] {
	return [
		...Array.from({length: larges}, (_, index) => ({id: `large-${index}`, capacity: large})),
		...Array.from({length: smalls}, (_, index) => ({id: `small-${index}`, capacity})),
	];
}

/** Returns the shares of the requests that each instance gets from callers with the given keys, each of which picks one of its instances at random. */
function sharesOf({instances, keys}: {readonly instances: readonly SizedInstance[]; readonly keys: readonly string[]}): ReadonlyMap<string, number> {
	const shares = new Map<string, number>();
	for (const callerKey of keys) {
		const listed = chooseByCapacity({instances, callerKey});
		for (const {id} of listed) {
			shares.set(id, (shares.get(id) ?? 0) + (1 / listed.length / keys.length));
		}
	}

	return shares;
}

const callerKeys = Array.from({length: CALLERS}, (_, index) => `10.1.${Math.floor(index / 250)}.${index % 250}`);

describe('chooseByCapacity', () => {
	it('spreads requests in proportion to the capacity, within the spread of hashes', () => {
		const instances = createInstances({larges: 4, smalls: 29});
		const shares = sharesOf({instances, keys: callerKeys});
		const ratio = Math.sqrt(small.cores * small.linkMbps / (large.cores * large.linkMbps));
		const largeShare = shares.get('large-0')!;
		for (const {id} of instances.slice(4)) {
			const relative = shares.get(id)! / largeShare / ratio;
			assert.ok(relative > 0.7 && relative < 1.3, `${id}: ${relative}`);
		}

		assert.ok([0, 1, 2, 3].every(index => Math.abs(shares.get(`large-${index}`)! - largeShare) < 1e-9));
	});

	for (const {name, instances} of [
		{name: 'without stated capacities', instances: createInstances({larges: 0, smalls: 40}).map(({id}) => ({id}))},
		{name: 'that differ by no more than a factor of two', instances: createInstances({larges: 3, smalls: 5, capacity: {cores: 0.7, linkMbps: 70}})},
		{name: 'of which only small ones are known', instances: [...createInstances({larges: 0, smalls: 3}), {id: 'older-0'}, {id: 'older-1'}]},
	]) {
		it(`lists all instances ${name}`, () => {
			assert.deepEqual(chooseByCapacity({instances, callerKey: '10.0.0.1'}), instances);
		});
	}

	it('lists an instance of unknown capacity as rarely as the smallest known one', () => {
		const instances = [...createInstances({larges: 4, smalls: 10}), {id: 'older'}];
		const shares = sharesOf({instances, keys: callerKeys});
		assert.ok(shares.get('older')! < shares.get('large-0')! / 5);
	});

	it('lists the same instances to a caller at each answer, whichever others of no more capacity join or leave', () => {
		fc.assert(fc.property(fc.integer({min: 3, max: 6}), fc.integer({min: 5, max: 60}), fc.ipV4(), fc.nat(), (larges, smalls, callerKey, changed) => {
			const instances = createInstances({larges, smalls});
			const left = instances[larges + (changed % smalls)]!;
			const before = chooseByCapacity({instances, callerKey});
			const after = chooseByCapacity({instances: instances.filter(instance => instance !== left), callerKey});
			assert.deepEqual(new Set(after), new Set(before.filter(instance => instance !== left)));
		}), {seed: 1});
	});

	it('lists some instances to each caller although hardly any is large', () => {
		const instances = createInstances({larges: 1, smalls: 20});
		assert.ok(callerKeys.every(callerKey => chooseByCapacity({instances, callerKey}).length >= 3));
	});
});

describe('SharedAddresses', () => {
	const ask = {address: '10.0.0.1', question: 'north fleet.example', timeToLiveMs: TIME_TO_LIVE_MS};

	it('tells a caller that has its address to itself by that, whichever port it asks from', () => {
		const addresses = new SharedAddresses();
		const keys = Array.from({length: 50}, (_, index) => addresses.callerKey({...ask, port: 40_000 + index, nowMs: index * TIME_TO_LIVE_MS}));
		assert.deepEqual(new Set(keys), new Set(['10.0.0.1']));
	});

	it('spreads the requests of many callers behind one address in proportion to the capacity', () => {
		const addresses = new SharedAddresses();
		const instances = createInstances({larges: 4, smalls: 29});
		for (const address of callerKeys.slice(0, 20)) {
			const keys = Array.from({length: CALLERS / 4}, (_, index) => addresses.callerKey({
				...ask, address, port: 20_000 + index, nowMs: 1000 + (index * 10),
			}));
			const shares = sharesOf({instances, keys});
			assert.ok(instances.slice(4).every(({id}) => (shares.get(id) ?? 0) < shares.get('large-0')! / 5), JSON.stringify([address, ...shares]));
		}
	});
});
