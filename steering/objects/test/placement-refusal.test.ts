import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {refuseWithoutServer} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';

const LEAVING = Number.POSITIVE_INFINITY;
const NOW_MS = 1000;

const cases: ReadonlyArray<{name: string; closedUntilMs: ReadonlyArray<number | undefined>; random: number; reason: string; retryAfterMs: number}> = [
	{
		name: 'there are no servers', closedUntilMs: [], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'all servers are leaving', closedUntilMs: [LEAVING, LEAVING], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server is paused and another one is unusable for another reason', closedUntilMs: [5000, undefined], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server is paused and another one is leaving', closedUntilMs: [LEAVING, 5000], random: 0, reason: 'backend-paused', retryAfterMs: 4000,
	},
	{
		name: 'all servers are paused', closedUntilMs: [9000, 5000], random: 0.5, reason: 'backend-paused', retryAfterMs: 5000,
	},
	{
		name: 'all servers are paused for a short time', closedUntilMs: [1010], random: 0.5, reason: 'backend-paused', retryAfterMs: 110,
	},
];

describe('refuseWithoutServer', () => {
	for (const {name, closedUntilMs, random, reason, retryAfterMs} of cases) {
		it(`refuses with a retry time when ${name}`, () => {
			const refusal = refuseWithoutServer({
				service: 'ledger' as ServiceName, closedUntilMs, nowMs: NOW_MS, random: () => random,
			});
			assert.deepEqual({reason: refusal.reason, retryAfterMs: refusal.retryAfterMs}, {reason, retryAfterMs});
		});
	}

	it('spreads the retries over a time as long as the pause, at most two seconds', () => {
		const at = (random: number): number => refuseWithoutServer({
			service: 'ledger' as ServiceName, closedUntilMs: [NOW_MS + 60_000], nowMs: NOW_MS, random: () => random,
		}).retryAfterMs;
		assert.deepEqual([at(0), at(1)], [60_000, 62_000]);
	});
});
