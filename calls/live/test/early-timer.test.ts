import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	ChangeRelay, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {KeyValueStore, StoreChange} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';
import {entry} from './fixture.js';
import {VirtualTime} from './virtual-time.js';

const END_MS = 6000;
const CALL_MS = 100;
const self: InstanceRecord = {
	id: 'own' as InstanceId, failureDomain: 'north-a' as FailureDomainName, region: 'north' as RegionName, callers: {address: '127.0.0.1', port: 80}, peers: undefined,
};
const servers = ['servers/one', 'servers/two'];

/** How much earlier than requested a timer fires, in milliseconds. Node.js truncates fractions of a delay and rounds the time of its event loop down. */
const cases: ReadonlyArray<{earlyMs: number}> = [{earlyMs: 0}, {earlyMs: 1}, {earlyMs: 1.9}];

describe('entries that expired while the store was unavailable and are not written again', () => {
	for (const {earlyMs} of cases) {
		it(`are removed in the end, even if timers fire ${earlyMs} ms early`, async () => {
			const time = new VirtualTime();
			const gone: string[] = [];
			const view = new LiveView({
				format: {readSubject, decodeRouteSet, decodeServer},
				onChange({event, subject}) {
					if (event === 'server-gone') {
						gone.push(subject);
					}
				},
				onRoutes() {/* There are none. */},
				recordReaders: [],
				onServerLost() {/* Covered by onChange. */},
			});
			const removed = servers.map((key, position): StoreChange => ({kind: 'removed', key, modifyIndex: 8 + position}));
			const answers = [Right({kind: 'changes', changes: [], index: 7}), Left({code: 'unavailable', message: 'unavailable'}), Right({kind: 'changes', changes: removed, index: 9})];
			const store = {
				snapshot: () => EitherAsync.liftEither(Right({values: servers.map(key => ({key, value: new TextEncoder().encode(JSON.stringify(entry())), modifyIndex: 7})), index: 7})),
				changes: () => EitherAsync.fromPromise(async () => {
					await time.sleep(CALL_MS);
					return answers.shift() ?? Right({kind: 'changes', changes: [], index: 9});
				}),
			} as unknown as KeyValueStore;
			const feed = new StoreFeed({
				store,
				view,
				relay: new ChangeRelay({now: time.now}),
				upstreams: new UpstreamLink({
					self, instances: () => [], requestChanges: async () => Left({code: 'none', message: 'there is no other instance'}), onChange() {/* There is no upstream. */}, now: time.now,
				}),
				prefix: '',
				sleep: async milliseconds => time.sleep(Math.max(0.1, milliseconds - earlyMs)),
				now: time.now,
				random: () => 0.5,
				onAvailability() {/* Not checked. */},
				onSnapshot() {/* Not checked. */},
			});
			void feed.run();
			await time.runUntil(END_MS);
			feed.stop();
			assert.deepEqual(gone, ['one', 'two']);
		});
	}
});
