/** Guards against an instance that takes more requests than its processor can bear, and against one that calls itself full after a short stop. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {initialOverload, nextOverload} from '@pomelopick/steering.limits';
import type {InstanceLoad, OverloadState} from '@pomelopick/steering.limits';

const MAX_REQUESTS = 1500;
const calm: InstanceLoad = {
	inProgress: 5, maxRequests: MAX_REQUESTS, heldShare: 0.1, delayMs: 5,
};
const late: InstanceLoad = {...calm, inProgress: 400, delayMs: 600};

function play(loads: readonly InstanceLoad[]): OverloadState {
	let state = initialOverload(MAX_REQUESTS);
	for (const load of loads) {
		state = nextOverload(state, load);
	}

	return state;
}

const cases: ReadonlyArray<{name: string; loads: readonly InstanceLoad[]; isFull: boolean; requestLimit: number}> = [
	{
		name: 'is not full without load', loads: [calm, calm], isFull: false, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'is not full after one long stop', loads: [calm, late, calm], isFull: false, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'is full and takes fewer requests while its event loop is late', loads: [late, late], isFull: true, requestLimit: 280,
	},
	{
		name: 'is full when nine tenths of its requests are in progress', loads: [{...calm, inProgress: 1350}], isFull: true, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'is full when nine tenths of its bytes are held', loads: [{...calm, heldShare: 0.9}], isFull: true, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'stays full for two calm reports', loads: [{...calm, heldShare: 1}, calm, calm], isFull: true, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'is no longer full after three', loads: [{...calm, heldShare: 1}, calm, calm, calm], isFull: false, requestLimit: MAX_REQUESTS,
	},
	{
		name: 'takes slowly more requests afterwards', loads: [late, late, calm, calm], isFull: true, requestLimit: 339,
	},
];

describe('nextOverload', () => {
	for (const {name, loads, isFull, requestLimit} of cases) {
		it(name, () => {
			const state = play(loads);
			assert.deepEqual([state.isFull, state.requestLimit], [isFull, requestLimit]);
		});
	}

	it('ends overload when the delay grows with the requests in progress, and never refuses all', () => {
		fc.assert(fc.property(fc.integer({min: 20, max: 1000}), fc.integer({min: 20, max: 3000}), (bearable, wanted) => {
			let state = initialOverload(MAX_REQUESTS);
			const delays: number[] = [];
			for (let second = 0; second < 120; second += 1) {
				const inProgress = Math.min(wanted, state.requestLimit);
				const delayMs = inProgress > bearable ? 250 * inProgress / bearable : 20;
				delays.push(delayMs);
				state = nextOverload(state, {...calm, inProgress, delayMs});
				assert.ok(state.requestLimit >= 16 && state.requestLimit <= MAX_REQUESTS);
			}

			const lateSeconds = delays.slice(40).filter(delayMs => delayMs >= 250).length;
			assert.ok(lateSeconds <= 40, `${lateSeconds} of 80 seconds`);
			assert.ok(Math.max(...delays.slice(40)) <= 250 * 1.6, `${Math.max(...delays.slice(40))}`);
		}), {seed: 1});
	});
});
