import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {crashCases, checkCrashRound, runCrashRound} from '@pomelopick/testing.gateway-soak';

describe('a request whose servers end after the attempt that ran it, or which some servers answer', () => {
	for (const {name, ...options} of crashCases.filter(({showsLate}) => showsLate)) {
		it(`is not run long after its third crash, and sound requests are served, ${name} (seed 1)`, async () => {
			const round = await runCrashRound({...options, seed: 1});
			assert.equal(round.crashes > 0, options.ending !== 'none', `${round.crashes} servers crashed`);
			assert.deepEqual(checkCrashRound({round, fault: options.fault, ending: options.ending}), []);
		});
	}
});
