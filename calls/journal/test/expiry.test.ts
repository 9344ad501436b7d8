import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import type {ServiceName} from '@pomelopick/core.types';
import {
	BeginRequestSchema, BeginVerdict, FinishRequestSchema, KeptOutcomeSchema,
} from '@pomelopick/peer.protocol';
import type {BeginResponse, FinishResponse, JournalKey} from '@pomelopick/peer.protocol';
import type {FailureDomainName, Instance, InstanceId} from '@pomelopick/core.types';
import {
	orderOwners, readMintedAtMs, Shard, toJournalKey,
} from '@pomelopick/calls.journal';
import {MemoryStore} from './memory-store.js';

const LIFETIME_MS = 10_000;
const START_MS = 1_800_000_000_000;

function keyMintedAt({atMs, suffix}: {readonly atMs: number; readonly suffix: number}): JournalKey {
	const time = atMs.toString(16).padStart(12, '0');
	const key = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(suffix).padStart(12, '0')}`;
	return toJournalKey({key, service: 'ledger' as ServiceName, shards: 1})!;
}

function createShards(): {store: MemoryStore; clock: {nowMs: number}; createShard: () => Shard} {
	const store = new MemoryStore();
	const clock = {nowMs: 0};
	const createShard = (): Shard => new Shard({
		store: store.client({nextOutcome: () => 'served', delay: async () => undefined}),
		shard: 0,
		keyLifetimeMs: LIFETIME_MS,
		maxHeadBytes: 400,
		writeIntervalMs: () => 0,
		isFirstOwner: () => true,
		now: () => clock.nowMs,
		wallClock: () => START_MS + clock.nowMs,
		async sleep() {/* The clock of the test does not advance by itself. */},
		schedule(proceed) {
			proceed();
		},
		onEvent() {/* Events are not checked. */},
	});
	return {store, clock, createShard};
}

async function begin({shard, key, token}: {readonly shard: Shard; readonly key: JournalKey; readonly token: string}): Promise<BeginVerdict> {
	const response = await new Promise<BeginResponse>(resolve => {
		shard.receive({
			kind: 'begin', request: create(BeginRequestSchema, {
				key, fingerprint: 'same', token, timeLeftMs: 1000,
			}), reply: resolve,
		});
	});
	return response.verdict;
}

async function finish({shard, key, token}: {readonly shard: Shard; readonly key: JournalKey; readonly token: string}): Promise<FinishResponse> {
	return new Promise(resolve => {
		shard.receive({kind: 'finish', request: create(FinishRequestSchema, {key, token, outcome: create(KeptOutcomeSchema, {status: 200, body: new Uint8Array(100)})}), reply: resolve});
	});
}

describe('expiry of records', () => {
	it('refuses copies of an expired key for good, at any owner, whatever its clock shows', async () => {
		const {store, clock, createShard} = createShards();
		const shard = createShard();
		const first = keyMintedAt({atMs: START_MS, suffix: 1});
		assert.equal(await begin({shard, key: first, token: 'first'}), BeginVerdict.RUN);
		await finish({shard, key: first, token: 'first'});
		for (let step = 1; step <= 30; step += 1) {
			clock.nowMs = step * 1000;
			const key = keyMintedAt({atMs: START_MS + clock.nowMs, suffix: 100 + step});
			assert.equal(await begin({shard, key, token: `token-${step}`}), BeginVerdict.RUN);
			await finish({shard, key, token: `token-${step}`});
		}

		assert.equal(await begin({shard, key: first, token: 'late'}), BeginVerdict.EXPIRED);
		clock.nowMs = 0;
		assert.equal(await begin({shard: createShard(), key: first, token: 'later'}), BeginVerdict.EXPIRED);
		const segments = [...store.values.keys()].filter(key => key.includes('/segments/'));
		assert.ok(segments.length < 16, `${segments.length} segments are left`);
	});

	it('keeps a record for its lifetime when it is in an archived segment', async () => {
		const {clock, createShard} = createShards();
		const shard = createShard();
		const first = keyMintedAt({atMs: START_MS, suffix: 1});
		await begin({shard, key: first, token: 'first'});
		await finish({shard, key: first, token: 'first'});
		for (let step = 1; step <= 9; step += 1) {
			clock.nowMs = step * 1000;
			await begin({shard, key: keyMintedAt({atMs: START_MS + clock.nowMs, suffix: step + 1}), token: `token-${step}`});
		}

		assert.equal(await begin({shard: createShard(), key: first, token: 'copy'}), BeginVerdict.REPLAY);
	});

	it('refuses a key whose time is in the future', async () => {
		const {createShard} = createShards();
		const shard = createShard();
		await begin({shard, key: keyMintedAt({atMs: START_MS, suffix: 1}), token: 'first'});
		assert.equal(await begin({shard, key: keyMintedAt({atMs: START_MS + 3_600_000, suffix: 2}), token: 'second'}), BeginVerdict.EARLY);
	});
});

describe('keys', () => {
	const cases: ReadonlyArray<{name: string; key: string; mintedAtMs: number | undefined}> = [
		{name: 'a UUID of version 7 contains its time', key: '017f22e2-79b0-7cc3-98c4-dc0c0c07398f', mintedAtMs: 1_645_557_742_000},
		{name: 'a UUID of version 4 contains no time', key: '3f2504e0-4f89-41d3-9a0c-0305e82c3301', mintedAtMs: 0},
		{name: 'any other text contains no time', key: 'order-17', mintedAtMs: 0},
		{name: 'an empty key is malformed', key: '', mintedAtMs: undefined},
		{name: 'a key with a space is malformed', key: 'a b', mintedAtMs: undefined},
		{name: 'a key of 256 characters is malformed', key: 'k'.repeat(256), mintedAtMs: undefined},
	];
	for (const {name, key, mintedAtMs} of cases) {
		it(name, () => {
			const found = toJournalKey({key, service: 'ledger' as ServiceName, shards: 4});
			assert.equal(found && Number(found.mintedAtMs), mintedAtMs);
			assert.equal(found && readMintedAtMs(key), mintedAtMs);
		});
	}
});

describe('owners of shards', () => {
	const endpoint = {address: '127.0.0.1', port: 1};
	const instances = Array.from({length: 9}, (_, index): Instance => ({
		id: `entry-${index}` as InstanceId, failureDomain: 'north-1' as FailureDomainName, state: 'live', callers: endpoint, peers: endpoint, operators: endpoint,
	}));

	it('change only for the shards of an instance that was removed', () => {
		const ownerOf = (shard: number, from: readonly Instance[]) => orderOwners({shard, instances: from, suspects: new Set()})[0]!.id;
		const removed = ownerOf(0, instances);
		for (let shard = 0; shard < 64; shard += 1) {
			const before = ownerOf(shard, instances);
			const after = ownerOf(shard, instances.filter(({id}) => id !== removed));
			assert.ok(before === removed ? after !== removed : after === before, `shard ${shard} moved from ${before} to ${after}`);
		}
	});

	it('come last in the order when they are leaving or suspects', () => {
		const ids = orderOwners({
			shard: 3, instances: instances.map(instance => instance.id === 'entry-1' ? {...instance, state: 'leaving'} : instance), suspects: new Set(['entry-2' as InstanceId]),
		}).map(({id}) => id);
		assert.deepEqual(ids.slice(-2), ['entry-1', 'entry-2']);
	});
});
