import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {InstanceId} from '@pomelopick/core.types';
import {
	emptyLedger, findGrant, GrantObserver, planGrant, SHIFT_WINDOW_MS, ShiftBudget,
} from '@pomelopick/steering.shifts';
import type {ShiftLedger} from '@pomelopick/steering.shifts';

const SEED = 11;
const CAP = 20;
const MAX_CAP = 40;
const DURATION_MS = 5000;
const HOLDERS = 4;

interface Holder {
	readonly id: InstanceId;
	readonly budget: ShiftBudget;
	readonly observer: GrantObserver;
	/** Start of the holder's monotonic clock, in milliseconds. */
	readonly clockOffsetMs: number;
	/** Cap and version of the configuration that is active at this holder. */
	cap: number;
	configurationVersion: number;
	/** Planned write, the version of the ledger on which it is based, and its time on the holder's clock; it may be executed much later. */
	planned: {readonly ledger: ShiftLedger; readonly version: number; readonly askedAtMs: number} | undefined;
}

/** A time from which a cap was the highest active cap of all holders. */
interface ActiveCap {
	readonly fromMs: number;
	readonly cap: number;
}

interface World {
	ledger: ShiftLedger;
	version: number;
	nowMs: number;
	/** Cap and version of the latest published configuration. */
	cap: number;
	configurationVersion: number;
	readonly holders: readonly Holder[];
	readonly sentAtMs: number[];
	readonly caps: ActiveCap[];
}

const step = fc.record({
	holder: fc.nat(HOLDERS - 1),
	kind: fc.constantFrom('plan', 'write', 'write-lost', 'ask', 'ask', 'send', 'send', 'send', 'publish', 'learn', 'learn-all', 'pass'),
	wanted: fc.oneof(fc.constant(0), fc.integer({min: 0, max: MAX_CAP})),
	passedMs: fc.oneof(fc.integer({min: 1, max: 300}), fc.integer({min: 0, max: 6000})),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function createWorld(offsets: readonly number[]): World {
	return {
		ledger: emptyLedger,
		version: 0,
		nowMs: 0,
		cap: CAP,
		configurationVersion: 1,
		holders: offsets.map((clockOffsetMs, index) => ({
			id: `entry-${index}` as InstanceId,
			budget: new ShiftBudget(),
			observer: new GrantObserver({windowMs: SHIFT_WINDOW_MS}),
			clockOffsetMs,
			cap: CAP,
			configurationVersion: 1,
			planned: undefined,
		})),
		sentAtMs: [],
		caps: [{fromMs: 0, cap: CAP}],
	};
}

const by = (holder: number, kind: Step['kind'], wanted = 0): Step => ({
	holder, kind, wanted, passedMs: 0,
});
const pass = (passedMs: number): Step => ({
	holder: 0, kind: 'pass', wanted: 0, passedMs,
});
const changeCap = (cap: number): readonly Step[] => [by(0, 'publish', cap), by(0, 'learn-all')];

const schedules: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly sent: number}> = [
	{
		name: 'a cap that is raised between two grants and lowered after them',
		steps: [...changeCap(4), by(0, 'ask', MAX_CAP), ...changeCap(10), by(1, 'ask', MAX_CAP), ...changeCap(5), pass(SHIFT_WINDOW_MS + 1), by(0, 'send', MAX_CAP), by(1, 'send', MAX_CAP)],
		sent: 5,
	},
	{
		name: 'a grant that is returned by a write whose response is lost',
		steps: [by(0, 'ask', CAP), by(0, 'plan', 0), by(0, 'write-lost'), by(1, 'ask', CAP), by(0, 'send', CAP), by(1, 'send', CAP)],
		sent: CAP,
	},
	{
		name: 'the last calls of a grant that expires',
		steps: [by(0, 'ask', CAP), by(1, 'plan', CAP), pass(DURATION_MS - 1), by(0, 'send', CAP), pass((DURATION_MS * 0.1) + 10), by(1, 'ask', CAP), by(1, 'send', CAP)],
		sent: CAP,
	},
	{
		name: 'a lowered cap that is raised again before the last calls have left the window',
		steps: [by(0, 'ask', CAP), by(0, 'send', CAP), ...changeCap(5), by(0, 'ask', CAP), ...changeCap(CAP), by(1, 'ask', CAP), by(1, 'send', CAP)],
		sent: CAP,
	},
];

function apply({world, step: {holder: index, kind, wanted, passedMs}}: {readonly world: World; readonly step: Step}): void {
	const holder = world.holders[index]!;
	switch (kind) {
		case 'plan': {
			plan({world, holder, wanted});
			break;
		}

		case 'ask': {
			plan({world, holder, wanted});
			write({world, holder, isLost: false});
			break;
		}

		case 'write':
		case 'write-lost': {
			write({world, holder, isLost: kind === 'write-lost'});
			break;
		}

		case 'send': {
			for (let call = 0; call < wanted; call += 1) {
				holder.budget.tryAdmit({nowMs: world.nowMs + holder.clockOffsetMs, capCallsPerSecond: holder.cap, rampShare: 1}).ifRight(() => {
					world.sentAtMs.push(world.nowMs);
				});
			}

			break;
		}

		case 'publish': {
			world.cap = wanted;
			world.configurationVersion += 1;
			break;
		}

		case 'learn':
		case 'learn-all': {
			for (const learner of kind === 'learn' ? [holder] : world.holders) {
				learner.cap = world.cap;
				learner.configurationVersion = world.configurationVersion;
			}

			world.caps.push({fromMs: world.nowMs, cap: Math.max(...world.holders.map(({cap}) => cap))});
			break;
		}

		default: {
			world.nowMs += passedMs;
		}
	}
}

/** Reads the ledger and plans a write as the daemon does: the budget obeys the planned grant at once. */
function plan({world, holder, wanted}: {readonly world: World; readonly holder: Holder; readonly wanted: number}): void {
	const askedAtMs = world.nowMs + holder.clockOffsetMs;
	const ledger = planGrant({
		ledger: world.ledger,
		holder: holder.id,
		wantedCallsPerSecond: wanted,
		capCallsPerSecond: holder.cap,
		configurationVersion: holder.configurationVersion,
		durationMs: DURATION_MS,
		ended: holder.observer.observe({ledger: world.ledger, nowMs: askedAtMs}),
	}).toMaybe().extract();
	if (!ledger) {
		holder.planned = undefined;
		return;
	}

	holder.planned = holder.budget.mayStore({grant: findGrant({ledger, holder: holder.id}), nowMs: askedAtMs}) ? {ledger, version: world.version, askedAtMs} : undefined;
}

function write({world, holder, isLost}: {readonly world: World; readonly holder: Holder; readonly isLost: boolean}): void {
	const {planned} = holder;
	holder.planned = undefined;
	if (planned?.version !== world.version) {
		return;
	}

	world.ledger = planned.ledger;
	world.version += 1;
	if (!isLost) {
		holder.budget.useGrant({grant: findGrant({ledger: planned.ledger, holder: holder.id}), askedAtMs: planned.askedAtMs});
	}
}

/** Highest cap that was active at any holder from one window before a time until one second after it. */
function capAround({caps, atMs}: {readonly caps: readonly ActiveCap[]; readonly atMs: number}): number {
	const fromMs = atMs - SHIFT_WINDOW_MS;
	return Math.max(...caps.filter(({fromMs: startMs}, index) => startMs <= atMs + 1000 && (caps[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY) >= fromMs).map(({cap}) => cap));
}

function maxInAnySecond(times: readonly number[]): number {
	return Math.max(0, ...times.map((time, index) => times.slice(index).filter(other => other - time < 1000).length));
}

/** Describes the seconds in which more calls were sent than the cap allows. */
function findExcess({sentAtMs, caps}: World): readonly string[] {
	return sentAtMs
		.map((atMs, index) => ({atMs, calls: sentAtMs.slice(index).filter(other => other - atMs < 1000).length, cap: capAround({caps, atMs})}))
		.filter(({calls, cap}) => calls > cap)
		.map(({atMs, calls, cap}) => `${calls} calls in the second from ${atMs} ms under a cap of ${cap}`);
}

describe('the cap of a shift', () => {
	it('holds for the fleet under any order of grants, pauses, lost responses, expiries and changes of the cap', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 150}), fc.array(fc.nat(1_000_000), {minLength: HOLDERS, maxLength: HOLDERS}), (steps, offsets) => {
			const world = createWorld(offsets);
			for (const next of steps) {
				apply({world, step: next});
				const granted = world.ledger.grants.reduce((sum, {callsPerSecond}) => sum + callsPerSecond, 0);
				const highestCap = Math.max(...world.caps.map(({cap}) => cap));
				assert.ok(granted <= highestCap, `${granted} granted of ${highestCap}`);
			}

			assert.deepEqual(findExcess(world), []);
		}), {seed: SEED, numRuns: 3000});
	});

	for (const {name, steps, sent} of schedules) {
		it(`holds through ${name}`, () => {
			const world = createWorld([0, 0]);
			for (const next of steps) {
				apply({world, step: next});
			}

			assert.deepEqual(findExcess(world), []);
			assert.equal(world.sentAtMs.length, sent);
		});
	}

	it('allows no grant to a holder whose configuration is older than that of the last grant', () => {
		const world = createWorld([0, 0]);
		for (const next of [...changeCap(CAP), by(0, 'publish', 5), by(0, 'learn'), by(0, 'ask', 1), by(1, 'ask', CAP), by(1, 'send', CAP)]) {
			apply({world, step: next});
		}

		assert.deepEqual(world.ledger.grants.map(({holder, callsPerSecond}) => [holder, callsPerSecond]), [['entry-0', 1]]);
		assert.equal(world.sentAtMs.length, 0);
	});

	it('releases the grant of a holder that does not renew it, one duration and one window after it was first observed', () => {
		const observer = new GrantObserver({windowMs: SHIFT_WINDOW_MS});
		const ledger = planGrant({
			ledger: emptyLedger, holder: 'absent' as InstanceId, wantedCallsPerSecond: CAP, capCallsPerSecond: CAP, configurationVersion: 1, durationMs: DURATION_MS, ended: new Set(),
		}).unsafeCoerce();
		assert.equal(observer.observe({ledger, nowMs: 0}).size, 0);
		assert.equal(observer.observe({ledger, nowMs: DURATION_MS}).size, 0);
		assert.equal(observer.observe({ledger, nowMs: (DURATION_MS * 1.1) + SHIFT_WINDOW_MS}).size, 0);
		assert.deepEqual([...observer.observe({ledger, nowMs: (DURATION_MS * 1.1) + SHIFT_WINDOW_MS + 1})], ['absent']);
	});
});

describe('the expiry of a grant', () => {
	const cases = [
		{name: 'when the clock of its holder is accurate', clockSpeed: 1},
		{name: 'when the clock of its holder is slow by a tenth', clockSpeed: 1 / 1.1},
	];
	for (const {name, clockSpeed} of cases) {
		it(`is followed by the next grant only so late that no second contains calls of both, ${name}`, () => {
			const grant = (holder: string, ledger: ShiftLedger, ended: ReadonlySet<InstanceId>): ShiftLedger => planGrant({
				ledger, holder: holder as InstanceId, wantedCallsPerSecond: CAP, capCallsPerSecond: CAP, configurationVersion: 1, durationMs: DURATION_MS, ended,
			}).unsafeCoerce();
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

			assert.ok(next.callsPerSecond === CAP, 'the next holder did not get a grant');
			assert.ok(maxInAnySecond(sentAtMs) <= CAP);
		});
	}
});
