import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createDraw, retryFaultNames, runRetryRound} from '@pomelopick/testing.gateway-soak';
import type {RetryFaultName} from '@pomelopick/testing.gateway-soak';

const DURATION_MS = 17_000;
const DRAWS = 400;
const DRAW_SEED = 91_001;

const rounds: ReadonlyArray<{name: string; seed: number; faults: readonly RetryFaultName[]; perSecond: number}> = [
	{
		name: 'when all gateways are killed repeatedly', seed: 21, faults: ['kill-series'], perSecond: 60,
	},
	{
		name: 'when gateways are disconnected, delayed, paused, added and killed at the same time',
		seed: 22,
		faults: ['paths-frozen', 'store-paths-cut', 'join', 'pause-half', 'kill-half', 'paths-delayed', 'kill-all'],
		perSecond: 60,
	},
	{
		name: 'when the store returns from a copy without the first claims of parts, and gateways start right after',
		seed: 40_201,
		faults: ['store-returns-older', 'kill-half', 'kill-half', 'join', 'kill-half'],
		perSecond: 30,
	},
	{
		name: 'and servers are told the time that is left when they accept connections late', seed: 43_403, faults: Array.from({length: 8}, () => 'servers-accept-late'), perSecond: 120,
	},
];

describe('the retry budget of gateway processes', () => {
	for (const {name, seed, faults, perSecond} of rounds) {
		it(`is not exceeded ${name} (seed ${seed})`, async () => {
			const {violations, repeats} = await runRetryRound({
				seed, faults, perSecond, failingPercent: 100, durationMs: DURATION_MS,
			});
			assert.deepEqual(violations, []);
			assert.ok(repeats > 0, 'nothing was repeated');
		});
	}

	it(`is tested with every fault (seed ${DRAW_SEED})`, () => {
		const draw = createDraw(DRAW_SEED);
		const drawn = new Set(Array.from({length: DRAWS}, () => retryFaultNames[draw(retryFaultNames.length)]));
		assert.equal(drawn.size, retryFaultNames.length);
	});
});
