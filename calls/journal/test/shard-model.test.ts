import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import fc from 'fast-check';
import type {ServiceName} from '@pomelopick/core.types';
import {
	BeginRequestSchema, BeginVerdict, FinishRequestSchema, KeptOutcomeSchema, OutcomeState, ReadOutcomeRequestSchema,
} from '@pomelopick/peer.protocol';
import type {
	BeginResponse, FinishResponse, JournalKey, ReadOutcomeResponse,
} from '@pomelopick/peer.protocol';
import {Shard, toJournalKey} from '@pomelopick/calls.journal';
import {MemoryStore} from './memory-store.js';
import type {CallFate} from './memory-store.js';

const SEED = 20_261_203;
const RUNS = 300;
const OWNERS = 3;
const ANSWERED_STATUS = 200;
const NOT_RUN_STATUS = 0;
const UNKNOWN_STATUS = 1;

/** What the instance that was granted a run does. `loses-answer`: the call is run and its end recorded as unknown; `dies`: it is run and its end is not recorded. */
type Deed = 'answers' | 'sends-nothing' | 'loses-answer' | 'dies';

interface CopyPlan {
	readonly key: number;
	/** Owners asked in turn. */
	readonly owners: readonly number[];
	readonly deed: Deed;
	/** Sent once so many other steps were taken. */
	readonly startsAfter: number;
}

interface Model {
	readonly executions: Map<string, string[]>;
	readonly replays: Array<{readonly key: string; readonly body: string}>;
}

const copyPlans = fc.array(fc.record<CopyPlan>({
	key: fc.integer({min: 0, max: 2}),
	owners: fc.array(fc.integer({min: 0, max: OWNERS - 1}), {minLength: 1, maxLength: 3}),
	deed: fc.constantFrom<Deed>('answers', 'answers', 'sends-nothing', 'loses-answer', 'dies'),
	startsAfter: fc.integer({min: 0, max: 12}),
}), {minLength: 2, maxLength: 8});

const fates = fc.array(fc.constantFrom<CallFate>('served', 'served', 'served', 'answer-lost', 'refused', 'late', 'rate-limited'), {minLength: 1, maxLength: 24});

function keyOf(key: number): JournalKey {
	return toJournalKey({key: `key-${key}`, service: 'ledger' as ServiceName, shards: 1})!;
}

describe('a shard under any order of owners, pauses and lost answers', () => {
	it(`runs each key at most once and replays only what ran (seed ${SEED})`, async () => {
		await fc.assert(fc.asyncProperty(fc.scheduler(), copyPlans, fates, fc.constantFrom(150, 65_536), async (scheduler, plans, fateList, mostHeadBytes) => {
			const store = new MemoryStore();
			const model: Model = {executions: new Map(), replays: []};
			let calls = 0;
			let nowMs = 0;
			const nextFate = (kind: 'read' | 'write'): CallFate => {
				calls += 1;
				const fate = fateList[calls] ?? 'served';
				return kind === 'read' && fate !== 'refused' ? 'served' : fate;
			};

			const delay = async (label: string): Promise<void> => {
				await scheduler.schedule(Promise.resolve(), label);
				nowMs += 7;
			};

			const shards = Array.from({length: OWNERS}, (_, index) => new Shard({
				store: store.client({nextFate, delay}),
				shard: 0,
				keyLifetimeMs: 600_000,
				mostHeadBytes,
				writeIntervalMs: () => 1,
				isFirstOwner: () => index === 0,
				now: () => nowMs,
				wallClock: () => 1_000_000 + nowMs,
				sleep: async () => delay('sleep'),
				schedule(proceed) {
					proceed();
				},
				onEvent() {/* Not looked at. */},
			}));
			const copies = plans.map(async (plan, index) => runCopy({
				plan, token: `copy-${index}`, shards, delay, model,
			}));
			await scheduler.waitFor(Promise.all(copies));

			for (const [key, tokens] of model.executions) {
				assert.ok(tokens.length <= 1, `${key} was run by ${tokens.join(' and ')}`);
			}

			for (const {key, body} of model.replays) {
				assert.deepEqual(model.executions.get(key), [body], `${key} was replayed as the outcome of ${body}`);
			}
		}), {seed: SEED, numRuns: RUNS});
	});

	it('takes the outcome over when another owner is asked later', async () => {
		const {shards, model, delay} = quietShards();
		const plan = {key: 1, deed: 'answers', startsAfter: 0} as const;
		await runCopy({
			plan: {...plan, owners: [0]}, token: 'first', shards, delay, model,
		});
		await runCopy({
			plan: {...plan, owners: [1]}, token: 'second', shards, delay, model,
		});
		assert.deepEqual(model.replays, [{key: keyOf(1).digest, body: 'first'}]);
		const found = await new Promise<ReadOutcomeResponse>(resolve => {
			shards[2]!.receive({kind: 'read-outcome', request: create(ReadOutcomeRequestSchema, {key: keyOf(1)}), reply: resolve});
		});
		assert.equal(found.state, OutcomeState.RAN);
	});

	it('frees the key when its call surely was not run', async () => {
		const {shards, model, delay} = quietShards();
		await runCopy({
			plan: {
				key: 1, owners: [0], deed: 'sends-nothing', startsAfter: 0,
			}, token: 'first', shards, delay, model,
		});
		await runCopy({
			plan: {
				key: 1, owners: [1], deed: 'answers', startsAfter: 0,
			}, token: 'second', shards, delay, model,
		});
		assert.deepEqual([...model.executions.values()], [['second']]);
	});

	it('never runs a key again whose instance died, and says that its outcome is unknown', async () => {
		const {shards, model, delay, clock} = quietShards();
		await runCopy({
			plan: {
				key: 1, owners: [0], deed: 'dies', startsAfter: 0,
			}, token: 'first', shards, delay, model,
		});
		const early = await begin({shard: shards[1]!, key: keyOf(1), token: 'second'});
		clock.nowMs += 60_000;
		const late = await begin({shard: shards[1]!, key: keyOf(1), token: 'third'});
		assert.deepEqual([early.verdict, late.verdict], [BeginVerdict.IN_FLIGHT, BeginVerdict.UNKNOWN]);
	});

	it('refuses a key under another fingerprint', async () => {
		const {shards} = quietShards();
		await begin({shard: shards[0]!, key: keyOf(1), token: 'first'});
		const second = await begin({
			shard: shards[1]!, key: keyOf(1), token: 'second', fingerprint: 'another',
		});
		assert.equal(second.verdict, BeginVerdict.CONFLICT);
	});
});

function quietShards(): {shards: readonly Shard[]; model: Model; delay: () => Promise<void>; clock: {nowMs: number}} {
	const store = new MemoryStore();
	const clock = {nowMs: 0};
	const delay = async (): Promise<void> => undefined;
	const shards = Array.from({length: OWNERS}, () => new Shard({
		store: store.client({nextFate: () => 'served', delay}),
		shard: 0,
		keyLifetimeMs: 600_000,
		writeIntervalMs: () => 0,
		isFirstOwner: () => true,
		now: () => clock.nowMs,
		wallClock: () => 1_000_000 + clock.nowMs,
		sleep: delay,
		schedule(proceed) {
			proceed();
		},
		onEvent() {/* Not looked at. */},
	}));
	return {
		shards, model: {executions: new Map(), replays: []}, delay, clock,
	};
}

interface RunCopyOptions {
	readonly plan: CopyPlan;
	readonly token: string;
	readonly shards: readonly Shard[];
	readonly delay: (label: string) => Promise<void>;
	readonly model: Model;
}

/** Does what an entry instance does with one copy of a call. */
async function runCopy({plan, token, shards, delay, model}: RunCopyOptions): Promise<void> {
	for (let step = 0; step < plan.startsAfter; step += 1) {
		await delay('start');
	}

	const key = keyOf(plan.key);
	let response: BeginResponse | undefined;
	for (const owner of plan.owners) {
		response = await begin({shard: shards[owner]!, key, token});
		if (response.verdict !== BeginVerdict.UNAVAILABLE) {
			break;
		}
	}

	const lastShard = shards[plan.owners.at(-1)!]!;
	if (response?.verdict === BeginVerdict.REPLAY) {
		model.replays.push({key: key.digest, body: new TextDecoder().decode(response.outcome!.body)});
	}

	if (response?.verdict === BeginVerdict.UNAVAILABLE) {
		await finish({
			shard: lastShard, key, token, status: NOT_RUN_STATUS,
		});
	}

	if (response?.verdict !== BeginVerdict.RUN) {
		return;
	}

	await delay('dispatch');
	if (plan.deed === 'sends-nothing') {
		await finish({
			shard: lastShard, key, token, status: NOT_RUN_STATUS,
		});
		return;
	}

	model.executions.set(key.digest, [...model.executions.get(key.digest) ?? [], token]);
	if (plan.deed === 'answers') {
		await delay('answer');
		await finish({
			shard: lastShard, key, token, status: ANSWERED_STATUS,
		});
	} else if (plan.deed === 'loses-answer') {
		await finish({
			shard: lastShard, key, token, status: UNKNOWN_STATUS,
		});
	}
}

async function begin({shard, key, token, fingerprint = 'same'}: {readonly shard: Shard; readonly key: JournalKey; readonly token: string; readonly fingerprint?: string}): Promise<BeginResponse> {
	return new Promise(resolve => {
		shard.receive({
			kind: 'begin', request: create(BeginRequestSchema, {
				key, fingerprint, token, timeLeftMs: 1000,
			}), reply: resolve,
		});
	});
}

async function finish({shard, key, token, status}: {readonly shard: Shard; readonly key: JournalKey; readonly token: string; readonly status: number}): Promise<FinishResponse> {
	return new Promise(resolve => {
		shard.receive({
			kind: 'finish', request: create(FinishRequestSchema, {key, token, outcome: create(KeptOutcomeSchema, {status, body: new TextEncoder().encode(token)})}), reply: resolve,
		});
	});
}
