import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isMassExpiry, retainedUntilMs} from '@pomelopick/steering.servers';

/** Time after a removal in which the server must get nothing more, as the users state it. */
const DRAIN_MS = 2000;

const cases: ReadonlyArray<{name: string; returnedAtMs: number; nowMs: number; isHeld: boolean}> = [
	{
		name: 'holds what is missing at the return', returnedAtMs: 1000, nowMs: 1000, isHeld: true,
	},
	{
		name: 'holds what lapses soon after it', returnedAtMs: 1000, nowMs: 1400, isHeld: true,
	},
	{
		name: 'does not hold what is removed later', returnedAtMs: 1000, nowMs: 1700, isHeld: false,
	},
	{
		name: 'holds nothing while the store was never away', returnedAtMs: Number.NEGATIVE_INFINITY, nowMs: 1000, isHeld: false,
	},
];

describe('heldUntilMs', () => {
	for (const {name, returnedAtMs, nowMs, isHeld} of cases) {
		it(name, () => {
			const untilMs = retainedUntilMs({returnedAtMs, nowMs});
			assert.equal(untilMs !== undefined, isHeld);
			assert.ok((untilMs ?? nowMs) < nowMs + DRAIN_MS);
			assert.ok((untilMs ?? returnedAtMs) <= returnedAtMs + 2000);
		});
	}
});

const counts: ReadonlyArray<{name: string; before: number; after: number; expected: boolean}> = [
	{
		name: 'all are gone', before: 28, after: 0, expected: true,
	},
	{
		name: 'most are gone', before: 28, after: 9, expected: true,
	},
	{
		name: 'some are gone', before: 28, after: 22, expected: false,
	},
	{
		name: 'all were replaced', before: 28, after: 28, expected: false,
	},
	{
		name: 'there were none', before: 0, after: 0, expected: false,
	},
];

describe('haveLapsed', () => {
	for (const {name, before, after, expected} of counts) {
		it(`says ${expected ? 'yes' : 'no'} when ${name}`, () => {
			assert.equal(isMassExpiry({before, after}), expected);
		});
	}
});
