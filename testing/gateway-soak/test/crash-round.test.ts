import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {crashCases, checkCrashRound, runCrashRound} from '@pomelopick/testing.gateway-soak';

const DURATION_MS = 6000;

describe('a request that crashes every server that runs it, sent to one gateway after another', () => {
	for (const {name, ...options} of crashCases.filter(({isShort}) => isShort)) {
		it(`crashes few servers and leaves sound requests served, ${name} (seed 1)`, async () => {
			const round = await runCrashRound({...options, durationMs: DURATION_MS, seed: 1});
			assert.ok(round.crashes > 0, 'the request was never run');
			assert.deepEqual(checkCrashRound({round, fault: options.fault}), []);
		});
	}
});
