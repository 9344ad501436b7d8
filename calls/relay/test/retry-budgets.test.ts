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

/** Retry budgets with simulated clocks and a scripted allowance. */
class Fixture {
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

	/** Takes a permit for a request whose deadline is far away. */
	async take() {
		return this.budgets.take({service, answerByMs: this.monotonicMs + 60_000});
	}

	/** Takes permits until there is none left, and returns their number. */
	async takeAll(): Promise<number> {
		let taken = 0;
		while (await this.take()) {
			taken += 1;
		}

		return taken;
	}
}

describe('RetryBudgets', () => {
	const cases: ReadonlyArray<{name: string; act: (fixture: Fixture) => Promise<void> | void; expected: number; claims: number}> = [
		{
			name: 'nothing right after the start', act() {/* No request has arrived yet. */}, expected: 0, claims: 1,
		},
		{
			name: 'the credit earned by requests', act(fixture) {
				fixture.request(30);
			}, expected: 3, claims: 1,
		},
		{
			name: 'the credit and a claimed part', act(fixture) {
				fixture.request(30);
				fixture.grant();
			}, expected: 3 + PART, claims: 2,
		},
		{
			name: 'no credit from before a pause in which the monotonic clock stood still', act(fixture) {
				fixture.request(30);
				fixture.wallClockMs += 3000;
			}, expected: 0, claims: 1,
		},
		{
			name: 'the credit from before a pause in which both clocks advanced', act(fixture) {
				fixture.request(30);
				fixture.advance(3000);
			}, expected: 3, claims: 1,
		},
		{
			name: 'nothing of a part that was claimed before a pause', async act(fixture) {
				fixture.grant();
				await fixture.take();
				fixture.wallClockMs += 3000;
			}, expected: 0, claims: 2,
		},
		{
			name: 'nothing of an expired part', async act(fixture) {
				fixture.grant();
				await fixture.take();
				fixture.advance(GRANT_USABLE_MS);
			}, expected: 0, claims: 2,
		},
		{
			name: 'nothing of a part if there was a pause during its claim', act(fixture) {
				fixture.script.claim = async () => {
					fixture.script.claim = async () => inUse;
					const claimedAtMs = fixture.monotonicMs;
					fixture.wallClockMs += 3000;
					return Right({part: 0, claimedAtMs});
				};
			}, expected: 0, claims: 1,
		},
	];
	for (const {name, act, expected, claims} of cases) {
		it(`allows ${name}`, async () => {
			const fixture = new Fixture();
			await act(fixture);
			assert.equal(await fixture.takeAll(), expected);
			assert.equal(fixture.claims, claims);
		});
	}

	it('claims one part for concurrent requests, and none for a while after a failed claim', async () => {
		const fixture = new Fixture();
		const taken = await Promise.all(Array.from({length: 20}, async () => fixture.take()));
		assert.deepEqual(taken.filter(Boolean), []);
		await fixture.takeAll();
		assert.equal(fixture.claims, 1);
		fixture.advance(1000);
		await fixture.takeAll();
		assert.equal(fixture.claims, 2);
	});

	it('refuses when a claim takes too long, and uses the part afterwards', async () => {
		const fixture = new Fixture();
		let resolveClaim: (claimed: Either<ClaimFailure, ClaimedPart>) => void = () => undefined;
		fixture.script.claim = async () => new Promise(resolve => {
			resolveClaim = resolve;
		});
		assert.equal(await fixture.take(), undefined);
		fixture.script.claim = async () => inUse;
		resolveClaim(Right({part: 0, claimedAtMs: fixture.monotonicMs}));
		await new Promise(setImmediate);
		assert.equal(await fixture.takeAll(), PART);
	});

	it('waits no longer than until the deadline of the request', async () => {
		const fixture = new Fixture();
		fixture.script.claim = async () => new Promise(() => {/* The store does not respond. */});
		const ended: string[] = [];
		const take = async (name: string, withinMs: number): Promise<void> => {
			assert.equal(await fixture.budgets.take({service, answerByMs: fixture.monotonicMs + withinMs}), undefined);
			ended.push(name);
		};

		await Promise.all([take('late deadline', 60_000), take('early deadline', 20)]);
		assert.deepEqual(ended, ['early deadline', 'late deadline']);
		await take('deadline passed', 0);
		assert.equal(fixture.claims, 1);
	});

	it('does not count a permit that is given back', async () => {
		const fixture = new Fixture();
		fixture.request(10);
		const permit = await fixture.take();
		assert.equal(fixture.budgets.used().get(service), 1);
		permit?.giveBack();
		assert.equal(fixture.budgets.used().get(service), 0);
		assert.equal(await fixture.takeAll(), 1);
	});

	it('logs granted, used and refused permits, and the reasons', async () => {
		const fixture = new Fixture();
		fixture.request(10);
		await fixture.takeAll();
		fixture.advance(2000);
		fixture.grant();
		await fixture.takeAll();
		fixture.wallClockMs += 9000;
		fixture.request(1);
		const logged = fixture.lines.map(({event, reason, taken, refused, size, pausedMs}) => ({
			event, reason, taken, refused, size, pausedMs,
		}));
		const blank = {
			reason: undefined, taken: undefined, refused: undefined, size: undefined, pausedMs: undefined,
		};
		assert.deepEqual(logged, [
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
