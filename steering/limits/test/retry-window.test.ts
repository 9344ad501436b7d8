import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RetryWindow} from '@pomelopick/steering.limits';
import {findWorstWindow} from '@pomelopick/testing.gateway-soak';

const SEED = 71_001;
const RATIO = 0.2;
const WINDOW_MS = 10_000;
const INSTANCES = 8;
/** The ratio alone, without the additional allowance. */
const bounds = {ratio: RATIO, allowance: 0, windowMs: WINDOW_MS};

/** A retry that has not ended. */
interface Retry {
	readonly instance: number;
	readonly window: RetryWindow;
	readonly arrivesAtMs: number;
	readonly endsAtMs: number;
}

/** A fleet whose instances do not communicate. */
class Fleet {
	nowMs = 0;
	readonly requestsAtMs: number[] = [];
	readonly arrivalsAtMs: number[] = [];
	readonly #windows = Array.from({length: INSTANCES}, () => new RetryWindow({windowMs: WINDOW_MS}));
	#pending: Retry[] = [];

	advance(byMs: number): void {
		this.nowMs += byMs;
		for (const {window, arrivesAtMs, endsAtMs} of this.#pending.filter(retry => retry.endsAtMs <= this.nowMs)) {
			this.arrivalsAtMs.push(arrivesAtMs);
			window.recordEnd(endsAtMs);
		}

		this.#pending = this.#pending.filter(({endsAtMs}) => endsAtMs > this.nowMs);
	}

	request(instance: number): void {
		this.#windows[instance]!.recordRequest(this.nowMs);
		this.requestsAtMs.push(this.nowMs);
	}

	retry({instance, lastsMs, arrivesAfterMs}: {readonly instance: number; readonly lastsMs: number; readonly arrivesAfterMs: number}): void {
		const window = this.#windows[instance]!;
		if (window.tryTake({nowMs: this.nowMs, ratio: RATIO})) {
			this.#pending.push({
				instance, window, arrivesAtMs: this.nowMs + Math.min(lastsMs, arrivesAfterMs), endsAtMs: this.nowMs + lastsMs,
			});
		}
	}

	/** Restarts an instance; its pending retries arrive before its process ends. */
	restart(instance: number): void {
		for (const {arrivesAtMs} of this.#pending.filter(retry => retry.instance === instance)) {
			this.arrivalsAtMs.push(Math.min(arrivesAtMs, this.nowMs));
		}

		this.#pending = this.#pending.filter(retry => retry.instance !== instance);
		this.#windows[instance] = new RetryWindow({windowMs: WINDOW_MS});
	}

	excess(): number {
		this.advance(WINDOW_MS);
		const arrivals = [...this.arrivalsAtMs.map(() => 0), ...this.arrivalsAtMs].map((atMs, index) => ({requestId: String(index % this.arrivalsAtMs.length), server: 'any', atMs}));
		return findWorstWindow({bounds, sentAtMs: this.requestsAtMs, arrivals})?.excess ?? 0;
	}
}

const step = fc.record({
	instance: fc.nat({max: INSTANCES - 1}),
	afterMs: fc.nat({max: 60}),
	kind: fc.constantFrom('request', 'request', 'retry', 'retry', 'retry'),
	lastsMs: fc.nat({max: 4000}),
	arrivesAfterMs: fc.nat({max: 4000}),
});
const restart = fc.record({instance: fc.nat({max: INSTANCES - 1}), atStep: fc.nat({max: 1500})});
/** Idle times before some steps, so that requests and retries fall into different windows. */
const gap = fc.record({atStep: fc.nat({max: 1500}), lengthMs: fc.nat({max: 12_000})});

describe(`RetryWindow (seed ${SEED})`, () => {
	it('keeps the bound for any number and timing of restarts', () => {
		let retries = 0;
		fc.assert(fc.property(fc.array(step, {minLength: 500, maxLength: 1500}), fc.array(restart, {maxLength: 100}), fc.array(gap, {maxLength: 4}), (steps, restarts, gaps) => {
			const fleet = new Fleet();
			for (const [index, {instance, afterMs, kind, lastsMs, arrivesAfterMs}] of steps.entries()) {
				fleet.advance(afterMs + (gaps.find(({atStep}) => atStep === index)?.lengthMs ?? 0));
				for (const {instance: restarted} of restarts.filter(({atStep}) => atStep === index)) {
					fleet.restart(restarted);
				}

				if (kind === 'request') {
					fleet.request(instance);
				} else {
					fleet.retry({instance, lastsMs, arrivesAfterMs});
				}
			}

			retries += fleet.arrivalsAtMs.length;
			return fleet.excess() <= 0;
		}), {seed: SEED, numRuns: 60, endOnFailure: true});
		assert.ok(retries > 0, 'no retry was sent');
	});

	it('keeps the bound when all instances restart in the middle of a window', () => {
		const fleet = new Fleet();
		for (let start = 0; start < 2; start += 1) {
			for (let number = 0; number < 400; number += 1) {
				fleet.advance(10);
				fleet.request(number % INSTANCES);
				fleet.retry({instance: number % INSTANCES, lastsMs: 20, arrivesAfterMs: 10});
			}

			for (let instance = 0; instance < INSTANCES; instance += 1) {
				fleet.restart(instance);
			}
		}

		const excess = fleet.excess();
		assert.ok(excess <= 0, String(excess));
	});

	const cases: ReadonlyArray<{name: string; requests: number; nowMs: number; expected: number}> = [
		{
			name: 'no retries without requests', requests: 0, nowMs: 200, expected: 0,
		},
		{
			name: 'half of the ratio in the first window, as only one of the two counted windows has requests', requests: 100, nowMs: 200, expected: 10,
		},
		{
			name: 'no retries for requests that are two windows old', requests: 100, nowMs: 20_200, expected: 0,
		},
	];
	for (const {name, requests, nowMs, expected} of cases) {
		it(`allows ${name}`, () => {
			const window = new RetryWindow({windowMs: WINDOW_MS});
			for (let number = 0; number < requests; number += 1) {
				window.recordRequest(100);
			}

			let taken = 0;
			while (window.tryTake({nowMs, ratio: RATIO})) {
				taken += 1;
			}

			assert.equal(taken, expected);
		});
	}

	it('allows nearly the whole ratio under a steady load', () => {
		const window = new RetryWindow({windowMs: WINDOW_MS});
		let taken = 0;
		for (let nowMs = 0; nowMs < 3 * WINDOW_MS; nowMs += 50) {
			window.recordRequest(nowMs);
			if (window.tryTake({nowMs, ratio: RATIO})) {
				window.recordEnd(nowMs);
				taken += Number(nowMs >= 2 * WINDOW_MS);
			}
		}

		const requests = WINDOW_MS / 50;
		assert.ok(taken >= 0.9 * RATIO * requests, `${taken} of ${requests}`);
	});

	it('counts a retry until one window after its end, and not one that was given back', () => {
		const window = new RetryWindow({windowMs: WINDOW_MS});
		const retriesAt = (nowMs: number): number => window.use({nowMs, ratio: RATIO}).retries;
		for (let number = 0; number < 20; number += 1) {
			window.recordRequest(0);
		}

		assert.ok(window.tryTake({nowMs: 0, ratio: RATIO}));
		assert.ok(window.tryTake({nowMs: 0, ratio: RATIO}));
		window.giveBack();
		assert.equal(retriesAt(11_000), 1);
		window.recordEnd(11_000);
		assert.equal(retriesAt(20_500), 1);
		assert.equal(retriesAt(21_600), 0);
	});

	it('allows no retries for forgotten requests', () => {
		const window = new RetryWindow({windowMs: WINDOW_MS});
		for (let number = 0; number < 100; number += 1) {
			window.recordRequest(0);
		}

		window.forgetRequests();
		assert.ok(!window.tryTake({nowMs: 0, ratio: RATIO}));
	});
});
