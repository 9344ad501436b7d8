import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {refuseWithoutServer} from '@pomelopick/steering.objects';
import type {OutcomeCounts, ServerClosure} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';

const LEAVING = Number.POSITIVE_INFINITY;
const NOW_MS = 1000;

const pause = (untilMs: number): ServerClosure => ({untilMs, cause: 'pause'});
const limit = (untilMs: number): ServerClosure => ({untilMs, cause: 'rate-limit'});

const cases: ReadonlyArray<{name: string; closures: ReadonlyArray<ServerClosure | undefined>; recent?: OutcomeCounts; random: number; reason: string; retryAfterMs: number}> = [
	{
		name: 'there are no servers', closures: [], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'all servers are leaving', closures: [pause(LEAVING), pause(LEAVING)], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server is paused and another one is unusable for another reason', closures: [pause(5000), undefined], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
	{
		name: 'one server is paused and another one is leaving', closures: [pause(LEAVING), pause(5000)], random: 0, reason: 'backend-paused', retryAfterMs: 4000,
	},
	{
		name: 'all servers are paused', closures: [pause(9000), pause(5000)], random: 0.5, reason: 'backend-paused', retryAfterMs: 5000,
	},
	{
		name: 'all servers are paused for a short time', closures: [pause(1010)], random: 0.5, reason: 'backend-paused', retryAfterMs: 110,
	},
	{
		name: 'all servers have used up their rates', closures: [limit(1500), limit(1400)], random: 0.5, reason: 'backend-rate-limited', retryAfterMs: 500,
	},
	{
		name: 'all servers have used up their rates and as many requests are refused as answered', closures: [limit(1100)], recent: {answered: 10, refused: 10}, random: 0.5, reason: 'backend-rate-limited', retryAfterMs: 600,
	},
	{
		name: 'all servers have used up their rates and hundreds of callers compete',
		closures: [limit(1100)],
		recent: {answered: 10, refused: 400},
		random: 0.5,
		reason: 'backend-rate-limited',
		retryAfterMs: 1100,
	},
	{
		name: 'all servers are paused, however many requests are refused', closures: [pause(1400)], recent: {answered: 10, refused: 400}, random: 0.5, reason: 'backend-paused', retryAfterMs: 600,
	},
	{
		name: 'one server is paused, one has used up its rate and another one is leaving',
		closures: [pause(5000), limit(2000), pause(LEAVING)],
		random: 0,
		reason: 'backend-rate-limited',
		retryAfterMs: 1000,
	},
	{
		name: 'a pause ends before a server with a rate limit takes another request', closures: [pause(1200), limit(2000)], random: 0, reason: 'backend-paused', retryAfterMs: 200,
	},
	{
		name: 'one server has used up its rate and another one is unusable for another reason', closures: [limit(1500), undefined], random: 0, reason: 'no-backend-server', retryAfterMs: 500,
	},
];

describe('refuseWithoutServer', () => {
	for (const {name, closures, recent = {answered: 100, refused: 1}, random, reason, retryAfterMs} of cases) {
		it(`refuses with a retry time when ${name}`, () => {
			const refusal = refuseWithoutServer({
				service: 'ledger' as ServiceName, closures, recent, nowMs: NOW_MS, random: () => random,
			});
			assert.deepEqual({reason: refusal.reason, retryAfterMs: refusal.retryAfterMs}, {reason, retryAfterMs});
		});
	}

	it('spreads the retries over a time as long as the pause, at most two seconds', () => {
		const at = (random: number): number => refuseWithoutServer({
			service: 'ledger' as ServiceName, closures: [pause(NOW_MS + 60_000)], recent: {answered: 100, refused: 1}, nowMs: NOW_MS, random: () => random,
		}).retryAfterMs;
		assert.deepEqual([at(0), at(1)], [60_000, 62_000]);
	});
});
