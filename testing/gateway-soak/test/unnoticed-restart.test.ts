import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runRateLimitRound, serverName} from '@pomelopick/testing.gateway-soak';
import type {SoakEnvironment} from '@pomelopick/testing.gateway-soak';

const SEED = 40_105;
const SERVERS = 12;
/** Requests that a server tolerates in one second while it warms up: one and a half times its rate of 4, and 5. */
const TOLERATED = 11;
const WINDOW_MS = 1000;
const OUTAGE_FROM_MS = 4000;
const RESTART_AT_MS = 5500;
const WARMUP_MS = 5000;
const DURATION_MS = 10_000;

const cutStore = ({members}: SoakEnvironment): void => {
	for (const {storePath} of members) {
		storePath.set({frozen: true});
	}
};

/** Restarts half of the servers so briefly that their idle connections end and no request fails. */
const restartHalf = (environment: SoakEnvironment): void => {
	for (let number = 0; number < SERVERS; number += 2) {
		void environment.restartBehindCut({
			number, durationMs: 0, registersAfterMs: DURATION_MS, warmupMs: WARMUP_MS,
		});
	}
};

/** Maximum number of requests in any second. */
function maxInWindow(timesMs: readonly number[]): number {
	return Math.max(0, ...timesMs.map(endMs => timesMs.filter(atMs => atMs > endMs - WINDOW_MS && atMs <= endMs).length));
}

describe('a server that turns cold while the store is unavailable', () => {
	// Guards against gateways that open connections to a server without knowing whether it has restarted.
	it(`gets no more requests than it tolerates if no gateway notices its restart (seed ${SEED})`, async () => {
		const {arrivals, startMs, violations} = await runRateLimitRound({
			seed: SEED, durationMs: DURATION_MS, gateways: 12, servers: SERVERS, perSecond: 250, steps: [{atMs: OUTAGE_FROM_MS, run: cutStore}, {atMs: RESTART_AT_MS, run: restartHalf}],
		});
		const most = Array.from({length: SERVERS / 2}, (_, index) => {
			const times = (arrivals.get(serverName(index * 2)) ?? []).map(({atMs}) => atMs - startMs).filter(atMs => atMs >= RESTART_AT_MS && atMs <= RESTART_AT_MS + WARMUP_MS);
			return maxInWindow(times);
		});
		assert.ok(Math.max(...most) <= TOLERATED, `requests in the worst second of each server: ${most.join(', ')}; ${TOLERATED} tolerated`);
		assert.deepEqual(violations, []);
	});
});
