import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ClaimedPart, ClaimFailure} from '@pomelopick/calls.live';
import {RetryBudgets} from '@pomelopick/calls.relay';
import {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import type {ServiceName} from '@pomelopick/core.types';
import {GRANT_USABLE_MS, partSize} from '@pomelopick/steering.limits';

const bounds = {ratio: 0.2, allowance: 56, windowMs: 10_000};
const PART = partSize(bounds);
const service = 'ledger' as ServiceName;
const inUse: Either<ClaimFailure, ClaimedPart> = Left({reason: 'all-in-use', detail: 'all'});

/** A budget on clocks of the test's own, and a scripted allowance. */
class Bench {
	monotonicMs = 1000;
	wallClockMs = 5_000_000;
	claims = 0;
	readonly script: {claim: () => Promise<Either<ClaimFailure, ClaimedPart>>} = {claim: async () => inUse};
	readonly lines: Array<Readonly<Record<string, unknown>>> = [];
	readonly budgets: RetryBudgets;

	constructor() {
		this.budgets = new RetryBudgets({
			bounds: () => bounds,
			claim: async () => {
				this.claims += 1;
				return this.script.claim();
			},
			counters: new ServedCounters(),
			log: new DecisionLog({
				write: line => {
					this.lines.push(JSON.parse(line) as Record<string, unknown>);
					return true;
				}, common: {}, wallClock: () => this.wallClockMs,
			}),
			clocks: () => ({monotonicMs: this.monotonicMs, wallClockMs: this.wallClockMs}),
		});
	}

	advance(byMs: number): void {
		this.monotonicMs += byMs;
		this.wallClockMs += byMs;
	}

	request(count: number): void {
		for (let number = 0; number < count; number += 1) {
			this.budgets.recordRequest(service);
		}
	}

	grant(): void {
		this.script.claim = async () => {
			this.script.claim = async () => inUse;
			return Right({part: 3, claimedAtMs: this.monotonicMs});
		};
	}

	/** A permit for a request that has a while to wait. */
	async take() {
		return this.budgets.take({service, answerByMs: this.monotonicMs + 60_000});
	}

	/** Permits that are given at once after each other. */
	async takeAll(): Promise<number> {
		let taken = 0;
		while (await this.take()) {
			taken += 1;
		}

		return taken;
	}
}

describe('RetryBudgets', () => {
	const cases: ReadonlyArray<{name: string; act: (bench: Bench) => Promise<void> | void; expected: number; claims: number}> = [
		{
			name: 'nothing right after the start', act() {/* Nothing has come yet. */}, expected: 0, claims: 1,
		},
		{
			name: 'what requests have earned', act(bench) {
				bench.request(30);
			}, expected: 3, claims: 1,
		},
		{
			name: 'a claimed part besides', act(bench) {
				bench.request(30);
				bench.grant();
			}, expected: 3 + PART, claims: 2,
		},
		{
			name: 'nothing of what was earned before a pause in which the monotonic clock stood still', act(bench) {
				bench.request(30);
				bench.wallClockMs += 3000;
			}, expected: 0, claims: 1,
		},
		{
			name: 'what was earned before a pause in which both clocks went on', act(bench) {
				bench.request(30);
				bench.advance(3000);
			}, expected: 3, claims: 1,
		},
		{
			name: 'nothing of a part that was claimed before a pause', async act(bench) {
				bench.grant();
				await bench.take();
				bench.wallClockMs += 3000;
			}, expected: 0, claims: 2,
		},
		{
			name: 'nothing of a part whose time is over', async act(bench) {
				bench.grant();
				await bench.take();
				bench.advance(GRANT_USABLE_MS);
			}, expected: 0, claims: 2,
		},
		{
			name: 'nothing of a part whose claim a pause fell into', act(bench) {
				bench.script.claim = async () => {
					bench.script.claim = async () => inUse;
					const claimedAtMs = bench.monotonicMs;
					bench.wallClockMs += 3000;
					return Right({part: 0, claimedAtMs});
				};
			}, expected: 0, claims: 1,
		},
	];
	for (const {name, act, expected, claims} of cases) {
		it(`allows ${name}`, async () => {
			const bench = new Bench();
			await act(bench);
			assert.equal(await bench.takeAll(), expected);
			assert.equal(bench.claims, claims);
		});
	}

	it('claims one part for requests at the same time, and none for a while after a failure', async () => {
		const bench = new Bench();
		const taken = await Promise.all(Array.from({length: 20}, async () => bench.take()));
		assert.deepEqual(taken.filter(Boolean), []);
		await bench.takeAll();
		assert.equal(bench.claims, 1);
		bench.advance(1000);
		await bench.takeAll();
		assert.equal(bench.claims, 2);
	});

	it('refuses when a claim takes too long, and uses the part afterwards', async () => {
		const bench = new Bench();
		let answer: (claimed: Either<ClaimFailure, ClaimedPart>) => void = () => undefined;
		bench.script.claim = async () => new Promise(resolve => {
			answer = resolve;
		});
		assert.equal(await bench.take(), undefined);
		bench.script.claim = async () => inUse;
		answer(Right({part: 0, claimedAtMs: bench.monotonicMs}));
		await new Promise(setImmediate);
		assert.equal(await bench.takeAll(), PART);
	});

	it('waits no longer than the request has time', async () => {
		const bench = new Bench();
		bench.script.claim = async () => new Promise(() => {/* The store does not answer. */});
		const ended: string[] = [];
		const take = async (name: string, withinMs: number): Promise<void> => {
			assert.equal(await bench.budgets.take({service, answerByMs: bench.monotonicMs + withinMs}), undefined);
			ended.push(name);
		};

		await Promise.all([take('a while', 60_000), take('hardly any', 20)]);
		assert.deepEqual(ended, ['hardly any', 'a while']);
		await take('none', 0);
		assert.equal(bench.claims, 1);
	});

	it('takes a permit back that led to no send', async () => {
		const bench = new Bench();
		bench.request(10);
		const permit = await bench.take();
		assert.equal(bench.budgets.used().get(service), 1);
		permit?.giveBack();
		assert.equal(bench.budgets.used().get(service), 0);
		assert.equal(await bench.takeAll(), 1);
	});

	it('tells what it holds, has used and refused, and why', async () => {
		const bench = new Bench();
		bench.request(10);
		await bench.takeAll();
		bench.advance(2000);
		bench.grant();
		await bench.takeAll();
		bench.wallClockMs += 9000;
		bench.request(1);
		const told = bench.lines.map(({event, reason, taken, refused, size, pausedMs}) => ({
			event, reason, taken, refused, size, pausedMs,
		}));
		const blank = {
			reason: undefined, taken: undefined, refused: undefined, size: undefined, pausedMs: undefined,
		};
		assert.deepEqual(told, [
			{
				...blank, event: 'retry-budget', taken: 1, refused: 0,
			},
			{...blank, event: 'retry-allowance-refused', reason: 'all-in-use'},
			{...blank, event: 'retry-allowance-claimed', size: PART},
			{
				...blank, event: 'retry-budget', taken: 1, refused: 1,
			},
			{...blank, event: 'retry-allowance-refused', reason: 'all-in-use'},
			{...blank, event: 'retry-credit-forgotten', pausedMs: 9000},
		]);
	});
});
