import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	ChangeRelay, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {ViewConfirmation} from '@pomelopick/steering.servers';

const INDEX = 7;
const OUTAGE_MS = 3000;
const self: InstanceRecord = {
	id: 'own' as InstanceId,
	failureDomain: 'north-a' as FailureDomainName,
	region: 'north' as RegionName,
	callers: {address: '127.0.0.1', port: 80},
	peers: {address: '127.0.0.1', port: 1},
};

/** Follows a store without changes that fails some of the watches, by their numbers; returns the confirmation after each watch. */
async function follow({watches, failing}: {readonly watches: number; readonly failing: readonly number[]}): Promise<readonly ViewConfirmation[]> {
	const confirmations: ViewConfirmation[] = [];
	let nowMs = 10_000;
	let watched = 0;
	const now = (): number => nowMs;
	const store = {
		snapshot: () => EitherAsync.liftEither(Right({values: [], index: INDEX})),
		changes({waitMs}: {readonly waitMs: number}) {
			if (watched > 0) {
				confirmations.push(feed.confirmation);
			}

			watched += 1;
			if (watched > watches) {
				feed.stop();
			}

			const isFailing = failing.includes(watched);
			nowMs += isFailing ? OUTAGE_MS : waitMs;
			return EitherAsync.liftEither(isFailing ? Left({code: 'store-silent', message: 'no answer'}) : Right({kind: 'changes', changes: [], index: INDEX}));
		},
	} as unknown as KeyValueStore;
	const feed: StoreFeed = new StoreFeed({
		store,
		view: new LiveView({
			format: {readSubject, decodeRouteSet, decodeServer}, onChange() {/* Nothing changes. */}, onRoutes() {/* There are none. */}, recordReaders: [], onServerLost() {/* There are none. */},
		}),
		relay: new ChangeRelay({now}),
		upstreams: new UpstreamLink({
			self, instances: () => [], requestChanges: undefined as never, onChange() {/* There are none. */}, now,
		}),
		prefix: '',
		async sleep() {/* Takes no time. */},
		now,
		random: () => 0,
		onAvailability() {/* Only the confirmation is checked. */},
		onSnapshot() {/* Only the confirmation is checked. */},
	});
	await feed.run();
	return confirmations;
}

describe('the view of a feed', () => {
	// Guards against checks of connections while the store answers.
	it('is current from its start on while the store answers each watch', async () => {
		const confirmations = await follow({watches: 5, failing: []});
		assert.ok(confirmations.every(({currentSinceMs}) => currentSinceMs === Number.NEGATIVE_INFINITY));
	});

	// Guards against a view that counts as current right after an outage, although entries that servers wrote in it are late.
	it('is current again from the first confirmation after an outage', async () => {
		const confirmations = await follow({watches: 5, failing: [3]});
		assert.deepEqual(confirmations.map(({ageMs}) => ageMs), [0, 0, OUTAGE_MS, 0, 0]);
		assert.deepEqual(confirmations.map(({currentSinceMs}) => Number.isFinite(currentSinceMs)), [false, false, false, true, true]);
		assert.equal(confirmations[3]!.currentSinceMs, confirmations[4]!.currentSinceMs);
	});
});
