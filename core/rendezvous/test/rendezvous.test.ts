import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {chooseOwner, chooseOwners} from '@pomelopick/core.rendezvous';

const SEED = 41;
const identifiers = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 2, maxLength: 40});
const toInstances = (ids: readonly string[]) => ids.map(id => ({id}));

describe('rendezvous hashing', () => {
	it('chooses the same owner for any order of the list', () => {
		fc.assert(fc.property(identifiers, fc.string(), (ids, key) => {
			const forwards = chooseOwner({key, instances: toInstances(ids)});
			const backwards = chooseOwner({key, instances: toInstances([...ids].reverse())});
			assert.equal(forwards?.id, backwards?.id);
		}), {seed: SEED});
	});

	it('moves only the keys of an instance that leaves', () => {
		fc.assert(fc.property(identifiers, fc.string(), fc.nat(), (ids, key, position) => {
			const leaver = ids[position % ids.length]!;
			const before = chooseOwner({key, instances: toInstances(ids)});
			const after = chooseOwner({key, instances: toInstances(ids.filter(id => id !== leaver))});
			assert.equal(before?.id === leaver || before?.id === after?.id, true);
		}), {seed: SEED});
	});

	it('spreads keys over the instances', () => {
		const instances = toInstances(Array.from({length: 9}, (_, index) => `entry-${index + 1}`));
		const counts = new Map<string, number>();
		for (let key = 0; key < 9000; key += 1) {
			const {id} = chooseOwner({key: `key-${key}`, instances})!;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		const ownedCounts = [...counts.values()];
		assert.equal(ownedCounts.length, 9);
		assert.ok(Math.min(...ownedCounts) > 800 && Math.max(...ownedCounts) < 1200, JSON.stringify(ownedCounts));
	});

	it('returns no owner for an empty list, and all instances when more are requested', () => {
		assert.equal(chooseOwner({key: 'one', instances: toInstances([])}), undefined);
		assert.equal(chooseOwners({key: 'one', instances: toInstances(['a', 'b']), count: 5}).length, 2);
	});
});
