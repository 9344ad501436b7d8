import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
	ChangeRelay, LiveView, StoreFeed, UpstreamLink,
} from '@pomelopick/calls.live';
import type {InstanceRecord, UpstreamAnswer} from '@pomelopick/calls.live';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {decodeRouteSet, decodeServer, readSubject} from '@pomelopick/platform.wire';
import type {
	CodedError, Endpoint, FailureDomainName, InstanceId, RegionName,
} from '@pomelopick/core.types';

const INDEX = 7;
/** Number of requests after which a feed is stopped. */
const MAX_REQUESTS = 12;

const record = (name: string): InstanceRecord => ({
	id: name as InstanceId,
	failureDomain: 'north-a' as FailureDomainName,
	region: 'north' as RegionName,
	callers: {address: '127.0.0.1', port: 80},
	peers: {address: name, port: 1},
});
const instances = ['one', 'two', 'three', 'four', 'five'].map(name => record(name));

interface ListRequestedOptions {
	/** Answer of the first upstream that gets a request. */
	readonly failure?: Either<CodedError, UpstreamAnswer>;
	/** Whether the store answers only the first request. */
	readonly isStoreUnavailable?: boolean;
	/** Whether other instances follow this one. */
	readonly hasFollowers?: boolean;
}

const noChanges: UpstreamAnswer = {
	kind: 'changes', changes: [], index: INDEX, ageMs: 0, returnedMs: undefined,
};

/** Runs a feed and lists the targets of its requests, in order: `store` or the address of an upstream. */
async function listRequested({failure = Right(noChanges), isStoreUnavailable = false, hasFollowers = false}: ListRequestedOptions): Promise<readonly string[]> {
	const requested: string[] = [];
	let nowMs = 0;
	const now = (): number => nowMs;
	const recordTarget = (target: string): void => {
		requested.push(target);
		if (requested.length === MAX_REQUESTS) {
			feed.stop();
		}
	};

	const store = {
		snapshot: () => EitherAsync.liftEither(Right({values: [], index: INDEX})),
		changes() {
			recordTarget('store');
			return EitherAsync.liftEither(isStoreUnavailable && requested.length > 1 ? Left({code: 'unavailable', message: 'no answer'}) : Right({kind: 'changes', changes: [], index: INDEX}));
		},
	} as unknown as KeyValueStore;
	const askEndpoint = async ({endpoint: {address}}: {readonly endpoint: Endpoint}): Promise<Either<CodedError, UpstreamAnswer>> => {
		const isFirst = !requested.some(target => target !== 'store');
		recordTarget(address);
		return isFirst ? failure : Right(noChanges);
	};

	const relay = new ChangeRelay({now});

	const feed: StoreFeed = new StoreFeed({
		store,
		view: new LiveView({
			format: {readSubject, decodeRouteSet, decodeServer}, onChange() {/* Nothing changes. */}, onRoutes() {/* There are none. */}, recordReaders: [], onServerLost() {/* There are none. */},
		}),
		relay,
		upstreams: new UpstreamLink({
			self: record('own'), instances: () => instances, requestChanges: askEndpoint, onChange() {/* The order of the requests is checked. */}, now,
		}),
		prefix: '',
		async sleep(milliseconds) {
			nowMs += milliseconds;
		},
		now,
		random: () => 0,
		onAvailability() {/* The order of the requests is checked. */},
		onSnapshot() {
			if (hasFollowers) {
				void relay.waitForChanges({afterIndex: INDEX, signal: new AbortController().signal});
			}
		},
	});
	await feed.run();
	return requested;
}

const failures: ReadonlyArray<{name: string; failure: Either<CodedError, UpstreamAnswer>}> = [
	{name: 'that did not answer', failure: Left({code: 'upstream-silent', message: 'no answer'})},
	{name: 'to which the store is unavailable', failure: Right({kind: 'unavailable'})},
	{name: 'that no longer keeps the changes', failure: Right({kind: 'history-lost'})},
	{
		name: 'whose last confirmation is old', failure: Right({
			kind: 'changes', changes: [], index: INDEX, ageMs: 60_000, returnedMs: undefined,
		}),
	},
];

describe('a feed after an upstream failed', () => {
	for (const {name, failure} of failures) {
		it(`queries the store before another upstream after one ${name}, since changes may be delayed already`, async () => {
			const requested = await listRequested({failure});
			const firstUpstream = requested.findIndex(target => target !== 'store');
			assert.notEqual(firstUpstream, -1, JSON.stringify(requested));
			assert.equal(requested[firstUpstream + 1], 'store', JSON.stringify(requested));
			assert.ok(requested.slice(firstUpstream + 2).some(target => target !== 'store'), 'upstreams get requests again afterwards');
		});
	}
});

const storeStates: ReadonlyArray<{name: string; isStoreUnavailable: boolean; usesUpstreams: boolean}> = [
	{name: 'follows the store itself', isStoreUnavailable: false, usesUpstreams: false},
	{name: 'follows upstreams while the store does not answer', isStoreUnavailable: true, usesUpstreams: true},
];

describe('a feed with followers', () => {
	for (const {name, isStoreUnavailable, usesUpstreams} of storeStates) {
		it(name, async () => {
			const requested = await listRequested({isStoreUnavailable, hasFollowers: true});
			assert.equal(requested.some(target => target !== 'store'), usesUpstreams, JSON.stringify(requested));
		});
	}
});
