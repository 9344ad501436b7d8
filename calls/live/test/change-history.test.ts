import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ChangeHistory} from '@pomelopick/calls.live';
import type {StoreChange} from '@pomelopick/platform.store';

const removed = (modifyIndex: number): StoreChange => ({kind: 'removed', key: `key-${modifyIndex}`, modifyIndex});
const range = (first: number, last: number): readonly StoreChange[] => Array.from({length: last - first + 1}, (_, position) => removed(first + position));

const cases: ReadonlyArray<{name: string; appended: ReadonlyArray<{changes: readonly StoreChange[]; index: number}>; after: number; expected: readonly number[] | undefined}> = [
	{
		name: 'nothing to one that knows all', appended: [{changes: range(6, 8), index: 8}], after: 8, expected: [],
	},
	{
		name: 'the last changes', appended: [{changes: range(6, 8), index: 8}], after: 6, expected: [7, 8],
	},
	{
		name: 'all changes since the start', appended: [{changes: range(6, 7), index: 7}, {changes: range(8, 9), index: 12}], after: 5, expected: [6, 7, 8, 9],
	},
	{
		name: 'nothing to one that knows more', appended: [{changes: range(6, 8), index: 8}], after: 20, expected: [],
	},
	{
		name: 'all changes of one transaction', appended: [{changes: [removed(6), removed(7), removed(7)], index: 7}], after: 6, expected: [7, 7],
	},
	{
		name: 'no part to one that knows less than the start', appended: [{changes: range(6, 8), index: 8}], after: 4, expected: undefined,
	},
	{
		name: 'no part to one that knows less than what is kept', appended: [{changes: range(6, 5000), index: 5000}], after: 6, expected: undefined,
	},
	{
		name: 'what is kept of a long history', appended: [{changes: range(6, 5000), index: 5000}], after: 4998, expected: [4999, 5000],
	},
];

describe('ChangeHistory', () => {
	for (const {name, appended, after, expected} of cases) {
		it(`gives ${name}`, () => {
			const history = new ChangeHistory({index: 5});
			for (const part of appended) {
				history.append(part);
			}

			assert.deepEqual(history.after(after)?.map(change => change.kind === 'removed' ? change.modifyIndex : 0), expected);
		});
	}

	it('never goes back', () => {
		const history = new ChangeHistory({index: 5});
		history.append({changes: range(6, 8), index: 8});
		history.append({changes: [], index: 7});
		assert.equal(history.index, 8);
	});
});
