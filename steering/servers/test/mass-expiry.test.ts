import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isMassExpiry, retainedUntilMs} from '@pomelopick/steering.servers';

/** Required time after a removal from which the server must get no more requests, in milliseconds. */
const DRAIN_MS = 2000;

const cases: ReadonlyArray<{name: string; returnedAtMs: number; nowMs: number; isRetained: boolean}> = [
	{
		name: 'keeps an entry that is missing when the store is available again', returnedAtMs: 1000, nowMs: 1000, isRetained: true,
	},
	{
		name: 'keeps an entry that expires soon after the outage', returnedAtMs: 1000, nowMs: 1400, isRetained: true,
	},
	{
		name: 'does not keep an entry that is removed later', returnedAtMs: 1000, nowMs: 1700, isRetained: false,
	},
	{
		name: 'keeps no entry when the store was never unavailable', returnedAtMs: Number.NEGATIVE_INFINITY, nowMs: 1000, isRetained: false,
	},
];

describe('retainedUntilMs', () => {
	for (const {name, returnedAtMs, nowMs, isRetained} of cases) {
		it(name, () => {
			const untilMs = retainedUntilMs({returnedAtMs, nowMs});
			assert.equal(untilMs !== undefined, isRetained);
			assert.ok((untilMs ?? nowMs) < nowMs + DRAIN_MS);
			assert.ok((untilMs ?? returnedAtMs) <= returnedAtMs + 2000);
		});
	}
});

const counts: ReadonlyArray<{name: string; before: number; after: number; expected: boolean}> = [
	{
		name: 'all entries are missing', before: 28, after: 0, expected: true,
	},
	{
		name: 'most entries are missing', before: 28, after: 9, expected: true,
	},
	{
		name: 'some entries are missing', before: 28, after: 22, expected: false,
	},
	{
		name: 'no entries are missing', before: 28, after: 28, expected: false,
	},
	{
		name: 'there were no entries', before: 0, after: 0, expected: false,
	},
];

describe('isMassExpiry', () => {
	for (const {name, before, after, expected} of counts) {
		it(`returns ${expected ? 'true' : 'false'} when ${name}`, () => {
			assert.equal(isMassExpiry({before, after}), expected);
		});
	}
});
