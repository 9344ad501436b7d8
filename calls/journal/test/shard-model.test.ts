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
import type {CallOutcome} from './memory-store.js';

const SEED = 20_261_203;
const RUNS = 300;
const OWNERS = 3;
const OK_STATUS = 200;
const NOT_RUN_STATUS = 0;
const UNKNOWN_STATUS = 1;

/**
 * What the instance that may run the call does. `loses-response`: the call is run and its outcome is recorded as unknown;
 * `crashes`: it is run and no outcome is recorded.
 */
type CallEnding = 'responds' | 'sends-nothing' | 'loses-response' | 'crashes';

interface CopyPlan {
	readonly key: number;
	/** Owners that are requested in turn. */
	readonly owners: readonly number[];
	readonly ending: CallEnding;
	/** Number of scheduler steps before the copy is sent. */
	readonly startsAfter: number;
}

interface Model {
	readonly executions: Map<string, string[]>;
	readonly replays: Array<{readonly key: string; readonly body: string}>;
}

const copyPlans = fc.array(fc.record<CopyPlan>({
	key: fc.integer({min: 0, max: 2}),
	owners: fc.array(fc.integer({min: 0, max: OWNERS - 1}), {minLength: 1, maxLength: 3}),
	ending: fc.constantFrom<CallEnding>('responds', 'responds', 'sends-nothing', 'loses-response', 'crashes'),
	startsAfter: fc.integer({min: 0, max: 12}),
}), {minLength: 2, maxLength: 8});

const storeOutcomes = fc.array(fc.constantFrom<CallOutcome>('served', 'served', 'served', 'answer-lost', 'refused', 'late', 'rate-limited'), {minLength: 1, maxLength: 24});

function keyOf(key: number): JournalKey {
	return toJournalKey({key: `key-${key}`, service: 'ledger' as ServiceName, shards: 1})!;
}

describe('a shard under any order of owners, pauses and lost responses', () => {
	it(`allows each key to run at most once and replays only outcomes of calls that ran (seed ${SEED})`, async () => {
		await fc.assert(fc.asyncProperty(fc.scheduler(), copyPlans, storeOutcomes, fc.constantFrom(150, 65_536), async (scheduler, plans, outcomes, maxHeadBytes) => {
			const store = new MemoryStore();
			const model: Model = {executions: new Map(), replays: []};
			let calls = 0;
			let nowMs = 0;
			const nextOutcome = (kind: 'read' | 'write'): CallOutcome => {
				calls += 1;
				const outcome = outcomes[calls] ?? 'served';
				return kind === 'read' && outcome !== 'refused' ? 'served' : outcome;
			};

			const delay = async (label: string): Promise<void> => {
				await scheduler.schedule(Promise.resolve(), label);
				nowMs += 7;
			};

			const shards = Array.from({length: OWNERS}, (_, index) => new Shard({
				store: store.client({nextOutcome, delay}),
				shard: 0,
				keyLifetimeMs: 600_000,
				maxHeadBytes,
				writeIntervalMs: () => 1,
				isFirstOwner: () => index === 0,
				now: () => nowMs,
				wallClock: () => 1_000_000 + nowMs,
				sleep: async () => delay('sleep'),
				schedule(proceed) {
					proceed();
				},
				onEvent() {/* Events are not checked. */},
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

	it('reads an outcome that another owner recorded', async () => {
		const {shards, model, delay} = createFaultlessShards();
		const plan = {key: 1, ending: 'responds', startsAfter: 0} as const;
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

	it('allows the next copy to run when the call was certainly not run', async () => {
		const {shards, model, delay} = createFaultlessShards();
		await runCopy({
			plan: {
				key: 1, owners: [0], ending: 'sends-nothing', startsAfter: 0,
			}, token: 'first', shards, delay, model,
		});
		await runCopy({
			plan: {
				key: 1, owners: [1], ending: 'responds', startsAfter: 0,
			}, token: 'second', shards, delay, model,
		});
		assert.deepEqual([...model.executions.values()], [['second']]);
	});

	it('never runs a key again after its instance crashed, and reports that its outcome is unknown', async () => {
		const {shards, model, delay, clock} = createFaultlessShards();
		await runCopy({
			plan: {
				key: 1, owners: [0], ending: 'crashes', startsAfter: 0,
			}, token: 'first', shards, delay, model,
		});
		const beforeDeadline = await begin({shard: shards[1]!, key: keyOf(1), token: 'second'});
		clock.nowMs += 60_000;
		const afterDeadline = await begin({shard: shards[1]!, key: keyOf(1), token: 'third'});
		assert.deepEqual([beforeDeadline.verdict, afterDeadline.verdict], [BeginVerdict.IN_FLIGHT, BeginVerdict.UNKNOWN]);
	});

	it('refuses a key with another fingerprint', async () => {
		const {shards} = createFaultlessShards();
		await begin({shard: shards[0]!, key: keyOf(1), token: 'first'});
		const second = await begin({
			shard: shards[1]!, key: keyOf(1), token: 'second', fingerprint: 'another',
		});
		assert.equal(second.verdict, BeginVerdict.CONFLICT);
	});
});

function createFaultlessShards(): {shards: readonly Shard[]; model: Model; delay: () => Promise<void>; clock: {nowMs: number}} {
	const store = new MemoryStore();
	const clock = {nowMs: 0};
	const delay = async (): Promise<void> => undefined;
	const shards = Array.from({length: OWNERS}, () => new Shard({
		store: store.client({nextOutcome: () => 'served', delay}),
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
		onEvent() {/* Events are not checked. */},
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

/** Handles one copy of a call as an entry instance does. */
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
	if (plan.ending === 'sends-nothing') {
		await finish({
			shard: lastShard, key, token, status: NOT_RUN_STATUS,
		});
		return;
	}

	model.executions.set(key.digest, [...model.executions.get(key.digest) ?? [], token]);
	if (plan.ending === 'responds') {
		await delay('response');
		await finish({
			shard: lastShard, key, token, status: OK_STATUS,
		});
	} else if (plan.ending === 'loses-response') {
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
