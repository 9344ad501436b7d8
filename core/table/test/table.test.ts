import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatTable} from '@pomelopick/core.table';

const cases: ReadonlyArray<{name: string; columns: string[]; rows: Array<Array<string | number>>; expected: string[]}> = [
	{
		name: 'aligns numbers to the right and text to the left', columns: ['name', 'count'], rows: [['a', 5], ['longer', 12]], expected: ['name    count', 'a           5', 'longer     12'],
	},
	{
		name: 'aligns a column with numbers and words to the left', columns: ['used'], rows: [[5], ['unknown']], expected: ['used', '5', 'unknown'],
	},
	{
		name: 'accepts a dash in a column of numbers', columns: ['place', 'x'], rows: [['-', 'y'], [1, 'z']], expected: ['place  x', '    -  y', '    1  z'],
	},
	{
		name: 'prints only the header when there are no rows', columns: ['a', 'b'], rows: [], expected: ['a  b'],
	},
];

describe('formatTable', () => {
	for (const {name, columns, rows, expected} of cases) {
		it(name, () => {
			assert.equal(formatTable({columns, rows}), expected.join('\n'));
		});
	}
});
