/** Guards against parts of an allowance that two instances use at the same time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ALLOWANCE_PREFIX, AllowanceParts} from '@pomelopick/calls.live';
import type {ClaimedPart, ClaimFailure} from '@pomelopick/calls.live';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {ALLOWANCE_PARTS, GRANT_USABLE_MS, partReuseMs} from '@pomelopick/steering.limits';
import type {InstanceId, ServiceName} from '@pomelopick/core.types';
import {EraClient, ScriptedStore} from './scripted-store.js';
import type {StoreOutcome} from './scripted-store.js';

const SEED = 71_003;
const WINDOW_MS = 10_000;
const INSTANCES = 12;
/** Time for which a request may be in flight before it arrives, in milliseconds. */
const LATEST_ARRIVAL_MS = 5000;
/** Maximum time in which an instance learns of a return of the store, in milliseconds. */
const MAX_NOTICE_MS = 1500;
const service = 'ledger' as ServiceName;

/** Instances on a simulated clock that receive the writes of others only when the test says so. */
class Fleet {
	nowMs = 0;
	readonly store = new ScriptedStore();
	readonly #clients: EraClient[] = [];
	readonly #instances = Array.from({length: INSTANCES}, (_, index) => this.#create(index));
	#noticeAtMs: Array<{readonly index: number; readonly atMs: number}> = [];

	/** Moves the clock; instances learn of returns meanwhile. */
	advance(afterMs: number): void {
		this.nowMs += afterMs;
		for (const {index} of this.#noticeAtMs.filter(({atMs}) => atMs <= this.nowMs)) {
			this.#clients[index]!.observe();
		}

		this.#noticeAtMs = this.#noticeAtMs.filter(({atMs}) => atMs > this.nowMs);
	}

	/** Lets the store return from its last copy. The instances learn of it one after the other. */
	returnFromCopy(): void {
		this.store.returnFromCopy();
		this.#noticeAtMs.push(...this.#instances.map((_, index) => ({index, atMs: this.nowMs + (index * MAX_NOTICE_MS / INSTANCES)})));
	}

	async claim(index: number): Promise<ClaimedPart | undefined> {
		const claimed = await this.#instances[index]!.claim(service);
		return claimed.toMaybe().extract();
	}

	/** Delivers all current values of the store to an instance. */
	deliver(index: number): void {
		this.#clients[index]!.observe();
		for (const value of this.store.values.values()) {
			this.#instances[index]!.write(value);
		}
	}

	restart(index: number): void {
		this.#instances[index] = this.#create(index);
		this.#instances[index].recordFirstRead({era: this.store.era});
		this.deliver(index);
	}

	#create(index: number): AllowanceParts {
		const client = new EraClient({
			store: this.store, onReturn() {
				parts.recordReturn();
			},
		});
		this.#clients[index] = client;
		const parts = new AllowanceParts({
			store: client as unknown as KeyValueStore,
			instance: `gateway-${index}` as InstanceId,
			reuseMs: () => partReuseMs({windowMs: WINDOW_MS}),
			countInstances: () => 1,
			now: () => this.nowMs,
			random: () => (index % ALLOWANCE_PARTS) / ALLOWANCE_PARTS,
		});
		return parts;
	}
}

type StepKind = 'claim' | 'deliver' | 'restart' | 'copy' | 'return';

const step = fc.record({
	instance: fc.nat({max: INSTANCES - 1}),
	afterMs: fc.nat({max: 1500}),
	kind: fc.constantFrom<StepKind>('claim', 'claim', 'claim', 'deliver', 'restart'),
	outcome: fc.constantFrom<StoreOutcome>('answered', 'answered', 'answered', 'done-and-lost', 'lost', 'refused'),
	usedAfterMs: fc.nat({max: GRANT_USABLE_MS + LATEST_ARRIVAL_MS - 1}),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const stepOfReturningStore: fc.Arbitrary<Step> = fc.tuple(step, fc.constantFrom<StepKind | undefined>(undefined, undefined, undefined, undefined, 'copy', 'return'))
	.map(([drawn, kind]) => ({...drawn, kind: kind ?? drawn.kind}));

const propertyCases: ReadonlyArray<{readonly name: string; readonly steps: fc.Arbitrary<Step>}> = [
	{name: 'even if instances restart, receive writes late or lose answers', steps: step},
	{name: 'also while the store returns from older copies', steps: stepOfReturningStore},
];

/** Does a step; returns the part that was claimed, if any. */
async function act({fleet, kind, instance}: {readonly fleet: Fleet; readonly kind: StepKind; readonly instance: number}): Promise<ClaimedPart | undefined> {
	switch (kind) {
		case 'claim': {
			return fleet.claim(instance);
		}

		case 'copy': {
			fleet.store.copy();
			return undefined;
		}

		case 'return': {
			fleet.returnFromCopy();
			return undefined;
		}

		case 'deliver':
		case 'restart': {
			fleet[kind](instance);
			return undefined;
		}
	}
}

/** Whether consecutive sorted times are more than a window apart. */
function areApart(times: readonly number[]): boolean {
	return times.every((atMs, index) => index === 0 || atMs - times[index - 1]! > WINDOW_MS);
}

function createParts({store, countInstances = () => 1, now = () => 0, random = () => 0}: {readonly store: ScriptedStore; readonly countInstances?: () => number; readonly now?: () => number; readonly random?: () => number}): AllowanceParts {
	return new AllowanceParts({
		store: store as unknown as KeyValueStore, instance: 'a' as InstanceId, reuseMs: () => partReuseMs({windowMs: WINDOW_MS}), countInstances, now, random,
	});
}

describe(`AllowanceParts (seed ${SEED})`, () => {
	for (const {name, steps: drawnStep} of propertyCases) {
		it(`keeps more than a window between two uses of a part, ${name}`, async () => {
			let uses = 0;
			const useParts = async (steps: readonly Step[]): Promise<ReadonlyArray<readonly number[]>> => {
				const fleet = new Fleet();
				const usedAtMs = Array.from({length: ALLOWANCE_PARTS}, (): number[] => []);
				for (const {instance, afterMs, kind, outcome, usedAfterMs} of steps) {
					fleet.advance(afterMs);
					fleet.store.next = outcome;
					const claimed = await act({fleet, kind, instance});
					if (claimed) {
						uses += 1;
						usedAtMs[claimed.part]!.push(claimed.claimedAtMs + usedAfterMs);
					}
				}

				return usedAtMs;
			};

			await fc.assert(fc.asyncProperty(fc.array(drawnStep, {minLength: 100, maxLength: 300}), async steps => {
				const usedAtMs = await useParts(steps);
				return usedAtMs.every(times => areApart(times.toSorted((a, b) => a - b)));
			}), {seed: SEED, numRuns: 100, endOnFailure: true});
			assert.ok(uses > ALLOWANCE_PARTS, `${uses} parts used`);
		});
	}

	it('lets an instance claim each part once, and no more than all parts', async () => {
		const parts = createParts({store: new ScriptedStore()});
		const claimed = [];
		for (let number = 0; number <= ALLOWANCE_PARTS; number += 1) {
			claimed.push(await parts.claim(service));
		}

		assert.deepEqual(new Set(claimed.slice(0, -1).map(either => either.map(({part}) => part).extract())).size, ALLOWANCE_PARTS);
		assert.equal(claimed.at(-1)!.swap().map(({reason}) => reason).extract(), 'all-in-use');
	});

	it('claims no part for the time of reuse after the store returned from a copy, which may lack claims in use', async () => {
		let nowMs = 1000;
		const parts = createParts({store: new ScriptedStore(), now: () => nowMs});
		parts.recordReturn();
		nowMs += partReuseMs({windowMs: WINDOW_MS}) - 1;
		const early = await parts.claim(service);
		assert.equal(early.swap().map(({reason}) => reason).extract(), 'all-in-use');
		nowMs += 1;
		const later = await parts.claim(service);
		assert.ok(later.isRight());
	});

	const failures: ReadonlyArray<{name: string; outcome: StoreOutcome; isTaken: boolean; random: number; instances: number; expected: ClaimFailure['reason']; writes: number}> = [
		{
			name: 'the store refuses the call', outcome: 'refused', isTaken: false, random: 0, instances: 1, expected: 'store-failed', writes: 1,
		},
		{
			name: 'the answer is lost', outcome: 'done-and-lost', isTaken: false, random: 0, instances: 1, expected: 'store-failed', writes: 1,
		},
		{
			name: 'another instance claimed the part first', outcome: 'answered', isTaken: true, random: 0, instances: 1, expected: 'claimed-by-another', writes: 1,
		},
		{
			name: 'the fleet is so large that the claim is left to other instances', outcome: 'answered', isTaken: false, random: 0.9, instances: 920, expected: 'left-to-others', writes: 0,
		},
	];
	for (const {name, outcome, isTaken, random, instances, expected, writes} of failures) {
		it(`claims no part when ${name}`, async () => {
			const store = new ScriptedStore();
			store.next = outcome;
			const key = `${ALLOWANCE_PREFIX}${service}/0`;
			if (isTaken) {
				store.values.set(key, {key, value: new Uint8Array(), modifyIndex: 7});
			}

			const claimed = await createParts({store, countInstances: () => instances, random: () => random}).claim(service);
			assert.equal(claimed.swap().map(({reason}) => reason).extract(), expected);
			assert.equal(store.writes, writes);
		});
	}
});
