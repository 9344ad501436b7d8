import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RetryWindow} from '@pomelopick/steering.limits';
import {findWorstWindow} from '@pomelopick/testing.gateway-soak';

const SEED = 71_001;
const RATIO = 0.2;
const WINDOW_MS = 10_000;
const INSTANCES = 8;
/** The ratio alone, without the allowance that holds besides. */
const bounds = {ratio: RATIO, allowance: 0, windowMs: WINDOW_MS};

/** A send to a further server that has not arrived yet. */
interface Send {
	readonly instance: number;
	readonly window: RetryWindow;
	readonly arrivesAtMs: number;
	readonly endsAtMs: number;
}

/** A fleet of which each instance knows nothing of the others. */
class Fleet {
	nowMs = 0;
	readonly requestsAtMs: number[] = [];
	readonly arrivalsAtMs: number[] = [];
	readonly #windows = Array.from({length: INSTANCES}, () => new RetryWindow({windowMs: WINDOW_MS}));
	#open: Send[] = [];

	advance(byMs: number): void {
		this.nowMs += byMs;
		for (const {window, arrivesAtMs, endsAtMs} of this.#open.filter(send => send.endsAtMs <= this.nowMs)) {
			this.arrivalsAtMs.push(arrivesAtMs);
			window.recordEnd(endsAtMs);
		}

		this.#open = this.#open.filter(({endsAtMs}) => endsAtMs > this.nowMs);
	}

	request(instance: number): void {
		this.#windows[instance]!.recordRequest(this.nowMs);
		this.requestsAtMs.push(this.nowMs);
	}

	retry({instance, lastsMs, arrivesAfterMs}: {readonly instance: number; readonly lastsMs: number; readonly arrivesAfterMs: number}): void {
		const window = this.#windows[instance]!;
		if (window.tryTake({nowMs: this.nowMs, ratio: RATIO})) {
			this.#open.push({
				instance, window, arrivesAtMs: this.nowMs + Math.min(lastsMs, arrivesAfterMs), endsAtMs: this.nowMs + lastsMs,
			});
		}
	}

	/** What it had sent arrives no later than its process ends. */
	restart(instance: number): void {
		for (const {arrivesAtMs} of this.#open.filter(send => send.instance === instance)) {
			this.arrivalsAtMs.push(Math.min(arrivesAtMs, this.nowMs));
		}

		this.#open = this.#open.filter(send => send.instance !== instance);
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
/** Steps between which nothing happens for a while, so that requests and sends fall into different windows. */
const gap = fc.record({atStep: fc.nat({max: 1500}), lengthMs: fc.nat({max: 12_000})});

describe(`RetryWindow (seed ${SEED})`, () => {
	it('keeps the bound whatever the number and timing of restarts', () => {
		let repeats = 0;
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

			repeats += fleet.arrivalsAtMs.length;
			return fleet.excess() <= 0;
		}), {seed: SEED, numRuns: 60, endOnFailure: true});
		assert.ok(repeats > 0, 'nothing was repeated');
	});

	it('keeps the bound when all instances restart in the middle of a window', () => {
		const fleet = new Fleet();
		for (let life = 0; life < 2; life += 1) {
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
			name: 'nothing without requests', requests: 0, nowMs: 200, expected: 0,
		},
		{
			name: 'half of the ratio at once, before it is known that requests go on', requests: 100, nowMs: 200, expected: 10,
		},
		{
			name: 'nothing for requests of two windows before', requests: 100, nowMs: 20_200, expected: 0,
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

	it('allows nearly the ratio while requests go on', () => {
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

	it('counts a send until a window after its end, and one that was not made no more', () => {
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

	it('allows nothing for requests that it was told to forget', () => {
		const window = new RetryWindow({windowMs: WINDOW_MS});
		for (let number = 0; number < 100; number += 1) {
			window.recordRequest(0);
		}

		window.forgetRequests();
		assert.ok(!window.tryTake({nowMs: 0, ratio: RATIO}));
	});
});
