import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {faultNames} from '@pomelopick/testing.history';
import {drawSteps} from '@pomelopick/testing.soak';

describe('drawn faults', () => {
	it('are the same for the same seed and differ for another', () => {
		assert.deepEqual(drawSteps({seed: 7, steps: 20}), drawSteps({seed: 7, steps: 20}));
		assert.notDeepEqual(drawSteps({seed: 7, steps: 20}), drawSteps({seed: 8, steps: 20}));
	});

	it('bring about every fault, pairs and repetitions', () => {
		const steps = drawSteps({seed: 1, steps: 400});
		const seen = new Set(steps.flatMap(({faults}) => faults));
		assert.deepEqual(faultNames.filter(name => !seen.has(name)), []);
		assert.ok(steps.some(({faults}) => faults.length === 2));
		assert.ok(steps.some((step, index) => index > 0 && step === steps[index - 1]));
	});
});
