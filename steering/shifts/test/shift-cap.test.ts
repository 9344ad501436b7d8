import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {InstanceId} from '@pomelopick/core.types';
import {
	emptyLedger, findGrant, GrantObserver, planGrant, SHIFT_WINDOW_MS, ShiftBudget, ShiftGuard,
} from '@pomelopick/steering.shifts';
import type {ShiftLedger} from '@pomelopick/steering.shifts';

const SEED = 11;
const CAP = 20;
const DURATION_MS = 5000;
const HOLDERS = 4;

interface Holder {
	readonly id: InstanceId;
	readonly budget: ShiftBudget;
	readonly observer: GrantObserver;
	/** Monotonic clocks start anywhere. */
	readonly clockOffsetMs: number;
	/** Ledger that was read, its version, and when by the holder's clock; a write may follow much later. */
	read: {readonly ledger: ShiftLedger; readonly version: number; readonly askedAtMs: number} | undefined;
}

interface World {
	ledger: ShiftLedger;
	version: number;
	nowMs: number;
	readonly holders: readonly Holder[];
	readonly sentAtMs: number[];
}

const step = fc.record({
	holder: fc.nat(HOLDERS - 1),
	kind: fc.constantFrom('read', 'write', 'write-lost', 'ask', 'ask', 'send', 'send', 'pass'),
	wanted: fc.integer({min: 0, max: CAP * 2}),
	passedMs: fc.oneof(fc.integer({min: 1, max: 300}), fc.integer({min: 0, max: 6000})),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function apply({world, step: {holder: index, kind, wanted, passedMs}}: {readonly world: World; readonly step: Step}): void {
	const holder = world.holders[index]!;
	const nowMs = world.nowMs + holder.clockOffsetMs;
	switch (kind) {
		case 'read': {
			holder.read = {ledger: world.ledger, version: world.version, askedAtMs: nowMs};
			break;
		}

		case 'ask': {
			holder.read = {ledger: world.ledger, version: world.version, askedAtMs: nowMs};
			write({
				world, holder, wanted, isLost: false,
			});
			break;
		}

		case 'write':
		case 'write-lost': {
			write({
				world, holder, wanted, isLost: kind === 'write-lost',
			});
			break;
		}

		case 'send': {
			for (let call = 0; call < wanted; call += 1) {
				holder.budget.tryAdmit({nowMs, capCallsPerSecond: CAP, rampShare: 1}).ifRight(() => {
					world.sentAtMs.push(world.nowMs);
				});
			}

			break;
		}

		default: {
			world.nowMs += passedMs;
		}
	}
}

function write({world, holder, wanted, isLost}: {readonly world: World; readonly holder: Holder; readonly wanted: number; readonly isLost: boolean}): void {
	if (!holder.read) {
		return;
	}

	const {ledger, version, askedAtMs} = holder.read;
	// A holder never asks for less than it holds without a window's rest; the daemon shrinks its budget first.
	const planned = planGrant({
		ledger, holder: holder.id, wantedCallsPerSecond: Math.max(wanted, holder.budget.callsPerSecond), capCallsPerSecond: CAP, durationMs: DURATION_MS, ended: holder.observer.observe({ledger, nowMs: askedAtMs}),
	});
	holder.read = undefined;
	if (version !== world.version) {
		return;
	}

	world.ledger = planned;
	world.version += 1;
	if (!isLost) {
		holder.budget.useGrant({grant: findGrant({ledger: planned, holder: holder.id}), askedAtMs});
	}
}

function mostInAnySecond(times: readonly number[]): number {
	return Math.max(0, ...times.map((time, index) => times.slice(index).filter(other => other - time < 1000).length));
}

describe('the cap of a shift', () => {
	it('holds over the fleet under any order of grants, pauses, lost answers and expiries', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 150}), fc.array(fc.nat(1_000_000), {minLength: HOLDERS, maxLength: HOLDERS}), (steps, offsets) => {
			const world: World = {
				ledger: emptyLedger,
				version: 0,
				nowMs: 0,
				holders: offsets.map((clockOffsetMs, index) => ({
					id: `entry-${index}` as InstanceId, budget: new ShiftBudget(), observer: new GrantObserver({windowMs: SHIFT_WINDOW_MS}), clockOffsetMs, read: undefined,
				})),
				sentAtMs: [],
			};
			for (const next of steps) {
				apply({world, step: next});
				const granted = world.ledger.grants.reduce((sum, {callsPerSecond}) => sum + callsPerSecond, 0);
				assert.ok(granted <= CAP, `${granted} granted of ${CAP}`);
			}

			const most = mostInAnySecond(world.sentAtMs);
			assert.ok(most <= CAP, `${most} calls in a second under a cap of ${CAP}`);
		}), {seed: SEED, numRuns: 2000});
	});

	it('frees the share of a holder that is gone, one duration and one window after it was seen', () => {
		const observer = new GrantObserver({windowMs: SHIFT_WINDOW_MS});
		const ledger = planGrant({
			ledger: emptyLedger, holder: 'gone' as InstanceId, wantedCallsPerSecond: CAP, capCallsPerSecond: CAP, durationMs: DURATION_MS, ended: new Set(),
		});
		assert.equal(observer.observe({ledger, nowMs: 0}).size, 0);
		assert.equal(observer.observe({ledger, nowMs: DURATION_MS}).size, 0);
		assert.equal(observer.observe({ledger, nowMs: (DURATION_MS * 1.1) + SHIFT_WINDOW_MS}).size, 0);
		assert.deepEqual([...observer.observe({ledger, nowMs: (DURATION_MS * 1.1) + SHIFT_WINDOW_MS + 1})], ['gone']);
	});
});

describe('the end of a grant', () => {
	const cases = [
		{name: 'at its holder whose clock runs right', clockSpeed: 1},
		{name: 'at its holder whose clock runs a tenth slow', clockSpeed: 1 / 1.1},
	];
	for (const {name, clockSpeed} of cases) {
		it(`is followed by the next grant only when no second holds calls of both, ${name}`, () => {
			const grant = (holder: string, ledger: ShiftLedger, ended: ReadonlySet<InstanceId>): ShiftLedger => planGrant({
				ledger, holder: holder as InstanceId, wantedCallsPerSecond: CAP, capCallsPerSecond: CAP, durationMs: DURATION_MS, ended,
			});
			const first = grant('first', emptyLedger, new Set());
			const budget = new ShiftBudget();
			budget.useGrant({grant: findGrant({ledger: first, holder: 'first' as InstanceId}), askedAtMs: 0});
			const observer = new GrantObserver({windowMs: SHIFT_WINDOW_MS});
			const next = new ShiftBudget();
			const sentAtMs: number[] = [];
			for (let nowMs = 0; nowMs <= DURATION_MS * 2; nowMs += 10) {
				const ended = observer.observe({ledger: first, nowMs});
				if (ended.size > 0) {
					next.useGrant({grant: findGrant({ledger: grant('next', first, ended), holder: 'next' as InstanceId}), askedAtMs: nowMs});
				}

				for (const {sender, senderMs} of [{sender: budget, senderMs: nowMs * clockSpeed}, {sender: next, senderMs: nowMs}]) {
					while (sender.tryAdmit({nowMs: senderMs, capCallsPerSecond: CAP, rampShare: 1}).isRight()) {
						sentAtMs.push(nowMs);
					}
				}
			}

			assert.ok(next.callsPerSecond === CAP, 'the next holder got no grant');
			assert.ok(mostInAnySecond(sentAtMs) <= CAP);
		});
	}
});

describe('ShiftGuard', () => {
	const cases = [
		{
			name: 'closes when calls fail', isGood: false, heldMs: 10, expected: 0,
		},
		{
			name: 'stays open when calls are answered', isGood: true, heldMs: 10, expected: 1,
		},
		{
			name: 'closes when calls get much slower', isGood: true, heldMs: 100, expected: 0,
		},
	];
	for (const {name, isGood, heldMs, expected} of cases) {
		it(name, () => {
			const aborts: string[] = [];
			const guard = new ShiftGuard({
				rampMs: 0, nowMs: 0, onAbort(detail) {
					aborts.push(detail);
				},
			});
			for (let nowMs = 100; nowMs <= 2500; nowMs += 100) {
				guard.note({isGood: true, heldMs: 10, nowMs});
			}

			for (let nowMs = 2600; nowMs <= 5500; nowMs += 100) {
				guard.note({isGood, heldMs, nowMs});
			}

			assert.equal(guard.share(5600), expected);
			assert.equal(aborts.length, 1 - expected);
		});
	}

	it('opens step by step', () => {
		const guard = new ShiftGuard({
			rampMs: 10_000, nowMs: 0, onAbort() {/* Not in this case. */},
		});
		assert.ok(guard.share(0) < 0.1 && guard.share(5000) < 0.6 && guard.share(10_000) === 1);
	});
});
