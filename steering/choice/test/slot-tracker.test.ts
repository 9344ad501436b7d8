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

function take({book, slotId, nowMs}: {readonly book: SlotTracker; readonly slotId: string; readonly nowMs: number}): BackendServerName | undefined {
	return book.tryTake({
		slotId, asker, avoidServers: noServers, avoidDomains: noDomains, expiresAtMs: nowMs + 10_000, nowMs, limitShare: 1,
	});
}

class Run {
	readonly #book = new SlotTracker({draw: below => below - 1});
	readonly #slots: number;
	readonly #drained = new Set<number>();
	readonly #held: string[] = [];
	#nowMs = 0;
	#taken = 0;

	constructor({slots}: {readonly slots: number}) {
		this.#slots = slots;
		this.#book.useServers(listServers({count: SERVERS, slots}));
	}

	apply({kind, pick, end, passedMs}: Step): void {
		this.#nowMs += passedMs;
		const steps = {
			take: () => {
				this.#take();
			},
			end: () => {
				const [slotId] = this.#held.splice(pick % Math.max(1, this.#held.length), 1);
				this.#book.release({slotId: slotId ?? 'unknown', end, nowMs: this.#nowMs});
			},
			drain: () => {
				this.#drained.add(pick % SERVERS);
				this.#book.useServers(listServers({count: SERVERS, slots: this.#slots, drained: this.#drained}));
			},
			renew: () => {
				this.#book.renew({asker, held: [], nowMs: this.#nowMs});
			},
			expire: () => {
				this.#book.expire(this.#nowMs);
			},
		};
		steps[kind]();
		this.#check();
	}

	#take(): void {
		const leaving = new Set(listServers({count: SERVERS, slots: 1}).map(({name}) => name).filter(name => this.#book.isLeaving(name)));
		this.#taken += 1;
		const slotId = `slot-${this.#taken}`;
		const server = take({book: this.#book, slotId, nowMs: this.#nowMs});
		if (server !== undefined) {
			this.#held.push(slotId);
			assert.ok(!this.#drained.has(Number(server.split('-')[1])), `${server} is drained`);
			assert.ok(!leaving.has(server), `${server} said that it leaves`);
		}
	}

	#check(): void {
		for (const {name} of listServers({count: SERVERS, slots: this.#slots})) {
			const inUse = this.#book.inUseAt(name);
			assert.ok(inUse >= 0 && inUse <= this.#slots, `${name} holds ${inUse} of ${this.#slots}`);
		}
	}
}

describe('SlotBook', () => {
	it('never holds more calls at a server than its slots, and gives none to a server that leaves', () => {
		fc.assert(fc.property(fc.array(step, {minLength: 20, maxLength: 200}), fc.integer({min: 1, max: 4}), (steps, slots) => {
			const run = new Run({slots});
			for (const next of steps) {
				run.apply(next);
			}
		}), {seed: SEED, numRuns: 300});
	});

	it('counts a slot that another owner handed out, but not one that ended already', () => {
		const book = new SlotTracker({draw: () => 0});
		book.useServers(listServers({count: 1, slots: 3}));
		const server = 'server-0' as BackendServerName;
		book.renew({asker, held: [{slotId: 'known', server, expiresAtMs: 5000}], nowMs: 0});
		assert.equal(book.inUseAt(server), 1);
		book.release({slotId: 'known', end: 'answered', nowMs: 10});
		book.renew({asker, held: [{slotId: 'known', server, expiresAtMs: 5000}], nowMs: 20});
		assert.equal(book.inUseAt(server), 0);
	});

	it('takes back the slots of an asker that no longer names them, and those whose time is over', () => {
		const book = new SlotTracker({draw: () => 0});
		book.useServers(listServers({count: 2, slots: 1}));
		take({book, slotId: 'lost', nowMs: 0});
		take({book, slotId: 'dead', nowMs: 0});
		book.renew({asker, held: [{slotId: 'dead', server: 'server-1' as BackendServerName, expiresAtMs: 10_000}], nowMs: 1500});
		assert.equal(book.inUse, 1);
		book.expire(10_001);
		assert.equal(book.inUse, 0);
	});

	it('leaves a server alone that said that it leaves, until it says otherwise', () => {
		const book = new SlotTracker({draw: () => 0});
		book.useServers(listServers({count: 1, slots: 2}));
		const server = take({book, slotId: 'first', nowMs: 0})!;
		book.release({slotId: 'first', end: 'leaving', nowMs: 1});
		assert.equal(take({book, slotId: 'second', nowMs: 60_000}), undefined);
		book.recordLeaving({server, isLeaving: false});
		assert.equal(take({book, slotId: 'third', nowMs: 60_001}), server);
	});
});

describe('mayHoldOutliers', () => {
	it('never rules out what listOutliers names', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 2000}), {minLength: 1, maxLength: 12}), holds => {
			const named = listOutliers(holds.map((holdMs, index) => ({name: `server-${index}` as BackendServerName, holdMs})));
			assert.ok(named.size === 0 || mayHaveOutliers({leastMs: Math.min(...holds), mostMs: Math.max(...holds)}));
		}), {seed: SEED});
	});
});

describe('listOutliers', () => {
	const cases: ReadonlyArray<{name: string; holds: Array<number | undefined>; expected: string[]}> = [
		{name: 'finds one slow server', holds: [100, 110, 90, 1000], expected: ['server-3']},
		{name: 'finds none among like ones', holds: [100, 110, 90, 200], expected: []},
		{name: 'knows nothing of new ones', holds: [undefined, undefined, undefined], expected: []},
		{name: 'doubts the measurement when many look slow', holds: [10, 10, 10, 100, 100, 100, 100], expected: []},
		{name: 'names a third at most', holds: [10, 10, 10, 10, 100, 110, 120], expected: ['server-6', 'server-5']},
	];
	for (const {name, holds, expected} of cases) {
		it(name, () => {
			const found = listOutliers(holds.map((holdMs, index) => ({name: `server-${index}` as BackendServerName, holdMs})));
			assert.deepEqual([...found], expected);
		});
	}
});
