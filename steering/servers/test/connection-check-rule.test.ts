import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {mustCheckConnection} from '@pomelopick/steering.servers';

const NOW_MS = 100_000;
const LONG_AGO = Number.NEGATIVE_INFINITY;

// Guards against requests to a server that restarted during an outage of the store, by instances that did not notice the restart.
const cases: ReadonlyArray<{readonly name: string; readonly openedBeforeMs: number; readonly ageMs: number; readonly currentSinceMs?: number; readonly expected: boolean}> = [
	{
		name: 'no connection while the store confirms the view', openedBeforeMs: 0, ageMs: 1199, expected: false,
	},
	{
		name: 'a new connection once the store has ceased to answer', openedBeforeMs: 0, ageMs: 1200, expected: true,
	},
	{
		name: 'a connection that was opened during the outage', openedBeforeMs: 3000, ageMs: 4000, expected: true,
	},
	{
		name: 'a connection that was opened before the view had to have the entry', openedBeforeMs: 6400, ageMs: 4000, expected: true,
	},
	{
		name: 'no connection that was opened long before the outage', openedBeforeMs: 6500, ageMs: 4000, expected: false,
	},
	{
		name: 'a connection of the outage just after it, as entries may be late', openedBeforeMs: 3000, ageMs: 0, currentSinceMs: NOW_MS - 2400, expected: true,
	},
	{
		name: 'a new connection just after the outage', openedBeforeMs: 0, ageMs: 0, currentSinceMs: NOW_MS - 1, expected: true,
	},
	{
		name: 'no connection once entries of the outage must have come', openedBeforeMs: 0, ageMs: 0, currentSinceMs: NOW_MS - 2500, expected: false,
	},
	{
		name: 'an old connection when the store stops again before late entries came', openedBeforeMs: 9000, ageMs: 2000, currentSinceMs: NOW_MS - 4000, expected: true,
	},
	{
		name: 'every connection of an instance that has read no view', openedBeforeMs: 9000, ageMs: Number.POSITIVE_INFINITY, expected: true,
	},
];

describe('the state of a server is asked for', () => {
	for (const {name, openedBeforeMs, ageMs, currentSinceMs = LONG_AGO, expected} of cases) {
		it(`on ${name}`, () => {
			assert.equal(mustCheckConnection({openedAtMs: NOW_MS - openedBeforeMs, view: {ageMs, currentSinceMs}, nowMs: NOW_MS}), expected);
		});
	}
});
