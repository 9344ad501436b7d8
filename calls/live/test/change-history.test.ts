import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ChangeHistory} from '@pomelopick/calls.live';
import type {StoreChange} from '@pomelopick/platform.store';

const removed = ({modifyIndex, key = `key-${modifyIndex}`}: {readonly modifyIndex: number; readonly key?: string}): StoreChange => ({kind: 'removed', key, modifyIndex});
const range = (first: number, last: number): readonly StoreChange[] => Array.from({length: last - first + 1}, (_, position) => removed({modifyIndex: first + position}));

const written = (key: string, modifyIndex: number, bytes = 10_000): StoreChange => ({kind: 'written', value: {key, value: new Uint8Array(bytes), modifyIndex}});
const indexOf = (change: StoreChange): number => change.kind === 'written' ? change.value.modifyIndex : change.modifyIndex;

const cases: ReadonlyArray<{name: string; appended: ReadonlyArray<{changes: readonly StoreChange[]; index: number}>; after: number; expected: readonly number[] | undefined}> = [
	{
		name: 'nothing to an instance that has all changes', appended: [{changes: range(6, 8), index: 8}], after: 8, expected: [],
	},
	{
		name: 'the changes after an index', appended: [{changes: range(6, 8), index: 8}], after: 6, expected: [7, 8],
	},
	{
		name: 'all changes since the start', appended: [{changes: range(6, 7), index: 7}, {changes: range(8, 9), index: 12}], after: 5, expected: [6, 7, 8, 9],
	},
	{
		name: 'nothing to an instance that is ahead', appended: [{changes: range(6, 8), index: 8}], after: 20, expected: [],
	},
	{
		name: 'all changes of one transaction', appended: [{changes: [removed({modifyIndex: 6}), removed({modifyIndex: 7}), removed({modifyIndex: 7})], index: 7}], after: 6, expected: [7, 7],
	},
	{
		name: 'the last of several large values of a key',
		appended: [{changes: [written('a', 6), written('b', 7), written('a', 8)], index: 8}, {changes: [written('a', 9)], index: 9}],
		after: 5,
		expected: [7, 9],
	},
	{
		name: 'all small values of a key', appended: [{changes: [written('a', 6, 300), written('a', 7, 300)], index: 7}], after: 5, expected: [6, 7],
	},
	{
		name: 'a write before the removal of its key, and the last write after it',
		appended: [{changes: [written('a', 6), removed({key: 'a', modifyIndex: 7}), written('a', 8), written('a', 9)], index: 9}],
		after: 5,
		expected: [6, 7, 9],
	},
	{
		name: 'undefined for an index before the start', appended: [{changes: range(6, 8), index: 8}], after: 4, expected: undefined,
	},
	{
		name: 'undefined for an index before the kept changes', appended: [{changes: range(6, 5000), index: 5000}], after: 6, expected: undefined,
	},
	{
		name: 'the kept changes of a long history', appended: [{changes: range(6, 5000), index: 5000}], after: 4998, expected: [4999, 5000],
	},
];

describe('ChangeHistory', () => {
	for (const {name, appended, after, expected} of cases) {
		it(`returns ${name}`, () => {
			const history = new ChangeHistory({index: 5});
			for (const part of appended) {
				history.append(part);
			}

			assert.deepEqual(history.after(after)?.map(change => indexOf(change)), expected);
		});
	}

	it('keeps only the last large value of a key that is written repeatedly', () => {
		const history = new ChangeHistory({index: 0});
		for (let index = 1; index <= 20_000; index += 1) {
			history.append({changes: [written('a', index)], index});
		}

		assert.deepEqual(history.after(0)?.map(change => indexOf(change)), [20_000]);
	});

	it('never decreases its index', () => {
		const history = new ChangeHistory({index: 5});
		history.append({changes: range(6, 8), index: 8});
		history.append({changes: [], index: 7});
		assert.equal(history.index, 8);
	});
});
