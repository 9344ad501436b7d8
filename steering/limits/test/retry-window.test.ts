import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RetryWindow} from '@pomelopick/steering.limits';

const SEED = 71_001;
const bounds = {ratio: 0.2, allowance: 56, windowMs: 10_000};

/** Most retries in any window of the length, over all instances together, against the requests of the same window. */
function worstExcess({retriesAtMs, requestsAtMs}: {readonly retriesAtMs: readonly number[]; readonly requestsAtMs: readonly number[]}): number {
	let worst = Number.NEGATIVE_INFINITY;
	for (const endMs of retriesAtMs) {
		const isWithin = (atMs: number): boolean => atMs > endMs - bounds.windowMs && atMs <= endMs;
		const allowed = (bounds.ratio * requestsAtMs.filter(atMs => isWithin(atMs)).length) + bounds.allowance;
		worst = Math.max(worst, retriesAtMs.filter(atMs => isWithin(atMs)).length - allowed);
	}

	return worst;
}

const step = fc.record({instance: fc.nat({max: 7}), afterMs: fc.nat({max: 60}), kind: fc.constantFrom('request', 'retry', 'retry', 'retry')});
const restart = fc.record({instance: fc.nat({max: 7}), atStep: fc.nat({max: 800})});

describe(`RetryWindow (seed ${SEED})`, () => {
	it('keeps the bound over eight instances, also when one of them restarts and forgets its window', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 200, maxLength: 800}), restart, (steps, {instance: restarted, atStep}) => {
			const windows = Array.from({length: 8}, () => new RetryWindow(bounds));
			const retriesAtMs: number[] = [];
			const requestsAtMs: number[] = [];
			let nowMs = 0;
			for (const [index, {instance, afterMs, kind}] of steps.entries()) {
				nowMs += afterMs;
				if (index === atStep) {
					windows[restarted] = new RetryWindow(bounds);
				}

				if (kind === 'request') {
					windows[instance]!.noteRequest(nowMs);
					requestsAtMs.push(nowMs);
				} else if (windows[instance]!.tryTake({nowMs, instances: 8})) {
					retriesAtMs.push(nowMs);
				}
			}

			return worstExcess({retriesAtMs, requestsAtMs}) <= 0;
		}), {seed: SEED, numRuns: 60});
	});

	it('keeps the bound whatever the number and timing of restarts', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 200, maxLength: 800}), fc.array(restart, {minLength: 40, maxLength: 200}), (steps, restarts) => {
			const windows = Array.from({length: 8}, () => new RetryWindow(bounds));
			const retriesAtMs: number[] = [];
			const requestsAtMs: number[] = [];
			let nowMs = 0;
			for (const [index, {instance, afterMs, kind}] of steps.entries()) {
				nowMs += afterMs;
				for (const {instance: restarted} of restarts.filter(({atStep}) => atStep === index)) {
					windows[restarted] = new RetryWindow(bounds);
				}

				if (kind === 'request') {
					windows[instance]!.noteRequest(nowMs);
					requestsAtMs.push(nowMs);
				} else if (windows[instance]!.tryTake({nowMs, instances: 8})) {
					retriesAtMs.push(nowMs);
				}
			}

			return worstExcess({retriesAtMs, requestsAtMs}) <= 0;
		}), {seed: SEED, numRuns: 60, endOnFailure: true});
	});

	it('keeps the bound when all instances restart in the middle of a window', () => {
		const retriesAtMs: number[] = [];
		for (const startMs of [0, 4000]) {
			const windows = Array.from({length: 8}, () => new RetryWindow(bounds));
			for (let nowMs = startMs; nowMs < startMs + 4000; nowMs += 50) {
				retriesAtMs.push(...windows.filter(window => window.tryTake({nowMs, instances: 8})).map(() => nowMs));
			}
		}

		assert.ok(worstExcess({retriesAtMs, requestsAtMs: []}) <= 0);
	});

	const cases: ReadonlyArray<{name: string; requests: number; instances: number; expected: number}> = [
		{
			name: 'without requests its part of the allowance', requests: 0, instances: 8, expected: 3,
		},
		{
			name: 'a ratio of its requests besides', requests: 100, instances: 8, expected: 21,
		},
		{
			name: 'more while it is alone', requests: 0, instances: 1, expected: 28,
		},
	];
	for (const {name, requests, instances, expected} of cases) {
		it(`allows ${name}`, () => {
			const window = new RetryWindow(bounds);
			for (let request = 0; request < requests; request += 1) {
				window.noteRequest(100);
			}

			let taken = 0;
			while (window.tryTake({nowMs: 200, instances})) {
				taken += 1;
			}

			assert.equal(taken, expected);
		});
	}
});
