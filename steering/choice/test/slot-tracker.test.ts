import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {BackendServerName, FailureDomainName, InstanceId} from '@pomelopick/core.types';
import {listOutliers, mayHaveOutliers, SlotTracker} from '@pomelopick/steering.choice';
import type {TrackedServer, SlotEnd} from '@pomelopick/steering.choice';

const SEED = 5;
const SERVERS = 4;
const noServers = new Set<BackendServerName>();
const noDomains = new Set<FailureDomainName>();
const asker = 'entry-1' as InstanceId;
const ends: readonly SlotEnd[] = ['answered', 'shed', 'leaving', 'failed', 'connect-failed', 'timed-out', 'cancelled'];
const step = fc.record({
	kind: fc.constantFrom('take', 'take', 'end', 'expire', 'drain', 'renew'), pick: fc.nat(30), end: fc.constantFrom(...ends), passedMs: fc.integer({min: 0, max: 400}),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function listServers({count, slots, drained = new Set()}: {readonly count: number; readonly slots: number; readonly drained?: ReadonlySet<number>}): TrackedServer[] {
	return Array.from({length: count}, (_, index) => ({
		name: `server-${index}` as BackendServerName, failureDomain: `north-${index % 2}` as FailureDomainName, slots, isDrained: drained.has(index),
	}));
}

function take({tracker, slotId, nowMs}: {readonly tracker: SlotTracker; readonly slotId: string; readonly nowMs: number}): BackendServerName | undefined {
	return tracker.tryTake({
		slotId, asker, avoidServers: noServers, avoidDomains: noDomains, expiresAtMs: nowMs + 10_000, nowMs, limitShare: 1,
	});
}

class Run {
	readonly #tracker = new SlotTracker({draw: below => below - 1});
	readonly #slots: number;
	readonly #drained = new Set<number>();
	readonly #held: string[] = [];
	#nowMs = 0;
	#taken = 0;

	constructor({slots}: {readonly slots: number}) {
		this.#slots = slots;
		this.#tracker.useServers(listServers({count: SERVERS, slots}));
	}

	apply({kind, pick, end, passedMs}: Step): void {
		this.#nowMs += passedMs;
		const steps = {
			take: () => {
				this.#take();
			},
			end: () => {
				const [slotId] = this.#held.splice(pick % Math.max(1, this.#held.length), 1);
				this.#tracker.release({slotId: slotId ?? 'unknown', end, nowMs: this.#nowMs});
			},
			drain: () => {
				this.#drained.add(pick % SERVERS);
				this.#tracker.useServers(listServers({count: SERVERS, slots: this.#slots, drained: this.#drained}));
			},
			renew: () => {
				this.#tracker.renew({asker, held: [], nowMs: this.#nowMs});
			},
			expire: () => {
				this.#tracker.expire(this.#nowMs);
			},
		};
		steps[kind]();
		this.#check();
	}

	#take(): void {
		const leaving = new Set(listServers({count: SERVERS, slots: 1}).map(({name}) => name).filter(name => this.#tracker.isLeaving(name)));
		this.#taken += 1;
		const slotId = `slot-${this.#taken}`;
		const server = take({tracker: this.#tracker, slotId, nowMs: this.#nowMs});
		if (server !== undefined) {
			this.#held.push(slotId);
			assert.ok(!this.#drained.has(Number(server.split('-')[1])), `${server} is drained`);
			assert.ok(!leaving.has(server), `${server} reported that it is leaving`);
		}
	}

	#check(): void {
		for (const {name} of listServers({count: SERVERS, slots: this.#slots})) {
			const inUse = this.#tracker.inUseAt(name);
			assert.ok(inUse >= 0 && inUse <= this.#slots, `${name}: ${inUse} slots in use, at most ${this.#slots} allowed`);
		}
	}
}

describe('SlotTracker', () => {
	it('never assigns a server more calls than its slots, and assigns none to a drained or leaving server', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 200}), fc.integer({min: 1, max: 4}), (steps, slots) => {
			const run = new Run({slots});
			for (const next of steps) {
				run.apply(next);
			}
		}), {seed: SEED, numRuns: 300});
	});

	it('counts a renewed slot that it has no record of, but not one that was released', () => {
		const tracker = new SlotTracker({draw: () => 0});
		tracker.useServers(listServers({count: 1, slots: 3}));
		const server = 'server-0' as BackendServerName;
		tracker.renew({asker, held: [{slotId: 'known', server, expiresAtMs: 5000}], nowMs: 0});
		assert.equal(tracker.inUseAt(server), 1);
		tracker.release({slotId: 'known', end: 'answered', nowMs: 10});
		tracker.renew({asker, held: [{slotId: 'known', server, expiresAtMs: 5000}], nowMs: 20});
		assert.equal(tracker.inUseAt(server), 0);
	});

	it('releases slots that the renewal of their instance does not list, and slots that have expired', () => {
		const tracker = new SlotTracker({draw: () => 0});
		tracker.useServers(listServers({count: 2, slots: 1}));
		take({tracker, slotId: 'lost', nowMs: 0});
		take({tracker, slotId: 'renewed', nowMs: 0});
		tracker.renew({asker, held: [{slotId: 'renewed', server: 'server-1' as BackendServerName, expiresAtMs: 10_000}], nowMs: 1500});
		assert.equal(tracker.inUse, 1);
		tracker.expire(10_001);
		assert.equal(tracker.inUse, 0);
	});

	it('assigns no calls to a leaving server until it reports otherwise', () => {
		const tracker = new SlotTracker({draw: () => 0});
		tracker.useServers(listServers({count: 1, slots: 2}));
		const server = take({tracker, slotId: 'first', nowMs: 0})!;
		tracker.release({slotId: 'first', end: 'leaving', nowMs: 1});
		assert.equal(take({tracker, slotId: 'second', nowMs: 60_000}), undefined);
		tracker.recordLeaving({server, isLeaving: false});
		assert.equal(take({tracker, slotId: 'third', nowMs: 60_001}), server);
	});
});

describe('mayHaveOutliers', () => {
	it('returns true whenever listOutliers returns a server', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 2000}), {minLength: 1, maxLength: 12}), holdTimesMs => {
			const outliers = listOutliers(holdTimesMs.map((holdMs, index) => ({name: `server-${index}` as BackendServerName, holdMs})));
			assert.ok(outliers.size === 0 || mayHaveOutliers({minMs: Math.min(...holdTimesMs), maxMs: Math.max(...holdTimesMs)}));
		}), {seed: SEED});
	});
});

describe('listOutliers', () => {
	const cases: ReadonlyArray<{name: string; holdTimesMs: Array<number | undefined>; expected: string[]}> = [
		{name: 'finds one slow server', holdTimesMs: [100, 110, 90, 1000], expected: ['server-3']},
		{name: 'finds none among similar servers', holdTimesMs: [100, 110, 90, 200], expected: []},
		{name: 'finds none among servers without measurements', holdTimesMs: [undefined, undefined, undefined], expected: []},
		{name: 'finds none when many are slow compared to the fastest', holdTimesMs: [10, 10, 10, 100, 100, 100, 100], expected: []},
		{name: 'returns a third of the servers at most', holdTimesMs: [10, 10, 10, 10, 100, 110, 120], expected: ['server-6', 'server-5']},
	];
	for (const {name, holdTimesMs, expected} of cases) {
		it(name, () => {
			const found = listOutliers(holdTimesMs.map((holdMs, index) => ({name: `server-${index}` as BackendServerName, holdMs})));
			assert.deepEqual([...found], expected);
		});
	}
});
