import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runRateLimitRound} from '@pomelopick/testing.gateway-soak';
import type {RateLimitStep} from '@pomelopick/testing.gateway-soak';

const DURATION_MS = 15_000;
const LIMITED_FROM_MS = 2000;
const KILL_INTERVAL_MS = 2000;
/** Numbers of the two servers that name a limit, in requests per second. */
const limits: ReadonlyMap<number, string> = new Map([[0, '2'], [1, '2.9']]);

const nameLimits: RateLimitStep = {
	atMs: LIMITED_FROM_MS,
	run({fleet}) {
		for (const [server, limit] of limits) {
			fleet.servers[server]!.nameRateLimit(limit);
		}
	},
};

const setStoreOutage = (atMs: number, outage: boolean): RateLimitStep => ({
	atMs,
	run({fleet}) {
		fleet.platform.faults.outage = outage;
	},
});

const rounds: ReadonlyArray<{name: string; seed: number; steps: readonly RateLimitStep[]; objects?: number}> = [
	{name: 'with requests for many objects', seed: 32_101, steps: [nameLimits]},
	{
		name: 'with requests for three objects', seed: 32_102, steps: [nameLimits], objects: 3,
	},
	{name: 'while the store is unavailable', seed: 32_103, steps: [nameLimits, setStoreOutage(4000, true), setStoreOutage(13_000, false)]},
	{
		name: 'while gateways are killed one after the other',
		seed: 32_104,
		steps: [nameLimits, ...Array.from({length: 6}, (_, number): RateLimitStep => ({
			atMs: LIMITED_FROM_MS + (number * KILL_INTERVAL_MS),
			run({members}) {
				members[number]!.process.signal('SIGKILL');
			},
		}))],
	},
];

describe('the rate limit that a server names', () => {
	for (const {name, seed, steps, objects} of rounds) {
		it(`is kept by all gateways together ${name} (seed ${seed})`, async () => {
			const {violations, uses} = await runRateLimitRound({
				seed, durationMs: DURATION_MS, steps, objects,
			});
			assert.deepEqual(violations, [], JSON.stringify(uses));
		});
	}
});
