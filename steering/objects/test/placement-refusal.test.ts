import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {refuseWithoutServer} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';

const LEAVES = Number.POSITIVE_INFINITY;
const NOW_MS = 1000;

const cases: ReadonlyArray<{name: string; closedUntilMs: ReadonlyArray<number | undefined>; random: number; reason: string; retryAfterMs: number}> = [
	{
		name: 'no server is left', closedUntilMs: [], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'all servers leave', closedUntilMs: [LEAVES, LEAVES], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server pauses and another one cannot be used for a reason of its own', closedUntilMs: [5000, undefined], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server pauses and another one leaves', closedUntilMs: [LEAVES, 5000], random: 0, reason: 'backend-paused', retryAfterMs: 4000,
	},
	{
		name: 'all servers pause', closedUntilMs: [9000, 5000], random: 0.5, reason: 'backend-paused', retryAfterMs: 5000,
	},
	{
		name: 'all servers pause for a moment', closedUntilMs: [1010], random: 0.5, reason: 'backend-paused', retryAfterMs: 110,
	},
];

describe('a request that no server can take', () => {
	for (const {name, closedUntilMs, random, reason, retryAfterMs} of cases) {
		it(`is refused when ${name}, with a time to come back`, () => {
			const refusal = refuseWithoutServer({
				service: 'ledger' as ServiceName, closedUntilMs, nowMs: NOW_MS, random: () => random,
			});
			assert.deepEqual({reason: refusal.reason, retryAfterMs: refusal.retryAfterMs}, {reason, retryAfterMs});
		});
	}

	it('comes back spread over as long as the pause lasts, at most two seconds', () => {
		const at = (random: number): number => refuseWithoutServer({
			service: 'ledger' as ServiceName, closedUntilMs: [NOW_MS + 60_000], nowMs: NOW_MS, random: () => random,
		}).retryAfterMs;
		assert.deepEqual([at(0), at(1)], [60_000, 62_000]);
	});
});
