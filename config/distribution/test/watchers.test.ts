import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {EitherAsync, Right} from 'purify-ts';
import type {
	FailureDomainName, Instance, InstanceId,
} from '@pomelopick/core.types';
import {PeerClients} from '@pomelopick/peer.transport';
import {PlatformStore} from '@pomelopick/platform.store';
import type {StoreError, WatchResult} from '@pomelopick/platform.store';
import {ConfigurationHolder, Distribution} from '@pomelopick/config.distribution';

const NOWHERE = {address: '127.0.0.1', port: 9};
/** Several times the interval at which an instance checks whether it is a watcher. */
const SEVERAL_ROLE_CHECKS_MS = 2200;

function createInstances({domain, count}: {readonly domain: string; readonly count: number}): readonly Instance[] {
	return Array.from({length: count}, (_, index) => ({
		id: `${domain}-${index}` as InstanceId, failureDomain: domain as FailureDomainName, state: 'live' as const, callers: NOWHERE, peers: NOWHERE, operators: NOWHERE,
	}));
}

/** A store without a root that counts its watches. */
class CountingStore extends PlatformStore {
	watches = 0;

	constructor() {
		super({endpoint: NOWHERE});
	}

	override watch(): EitherAsync<StoreError, WatchResult> {
		this.watches += 1;
		return EitherAsync.liftEither(Right({index: 1, values: []}));
	}
}

function createDistribution({self, live, store}: {readonly self: InstanceId; readonly live: readonly Instance[]; readonly store: PlatformStore}): Distribution {
	return new Distribution({
		self,
		store,
		clients: new PeerClients(),
		holder: new ConfigurationHolder(),
		liveInstances: () => live,
		now: () => 0,
		random: () => 0,
		prepare: async () => undefined,
		onFailure: () => undefined,
		onDamagedChunk: () => undefined,
	});
}

function listWatchers(live: readonly Instance[]): ReadonlyMap<string, readonly string[]> {
	const store = new CountingStore();
	const watchers = new Map<string, string[]>();
	for (const {id, failureDomain} of live) {
		if (createDistribution({self: id, live, store}).isWatcher) {
			watchers.set(failureDomain, [...watchers.get(failureDomain) ?? [], id]);
		}
	}

	return watchers;
}

const cases: ReadonlyArray<{name: string; counts: Readonly<Record<string, number>>; expected: Readonly<Record<string, number>>}> = [
	{name: 'a single instance', counts: {north: 1}, expected: {north: 1}},
	{name: 'two instances', counts: {north: 2}, expected: {north: 2}},
	{name: 'failure domains of three and nine', counts: {north: 3, south: 9}, expected: {north: 2, south: 2}},
	{name: 'the planned size of a failure domain', counts: {north: 35, south: 34, west: 1}, expected: {north: 2, south: 2, west: 1}},
];

describe('the choice of watchers', () => {
	for (const {name, counts, expected} of cases) {
		it(`gives ${name} at most two watchers a failure domain, whatever the order of the list`, () => {
			const live = Object.entries(counts).flatMap(([domain, count]) => createInstances({domain, count}));
			const watchers = listWatchers(live);
			assert.deepEqual(Object.fromEntries([...watchers].map(([domain, ids]) => [domain, ids.length])), expected);
			const reversed = listWatchers([...live].reverse());
			for (const [domain, ids] of watchers) {
				assert.deepEqual(new Set(reversed.get(domain)), new Set(ids));
			}
		});
	}

	it('replaces a watcher that has left by one other, and keeps the rest', () => {
		const live = createInstances({domain: 'north', count: 9});
		const [departed, kept] = listWatchers(live).get('north')!;
		const after = listWatchers(live.filter(({id}) => id !== departed)).get('north')!;
		assert.equal(after.length, 2);
		assert.ok(after.includes(kept!));
	});

	it('limits how often an instance that does not watch reads the store while it has no version', async () => {
		const live = createInstances({domain: 'north', count: 9});
		const watchers = listWatchers(live).get('north')!;
		const other = live.find(({id}) => !watchers.includes(id))!;
		const store = new CountingStore();
		const distribution = createDistribution({self: other.id, live, store});
		distribution.start();
		await sleep(SEVERAL_ROLE_CHECKS_MS);
		await distribution.stop();
		await store.close();
		// The clock of this instance does not advance, so that its next read is never due.
		assert.equal(store.watches, 1);
	});
});
