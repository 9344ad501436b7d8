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
/** Questions after which a feed is stopped. */
const MOST_ASKED = 12;

const record = (name: string): InstanceRecord => ({
	id: name as InstanceId,
	failureDomain: 'north-a' as FailureDomainName,
	region: 'north' as RegionName,
	callers: {address: '127.0.0.1', port: 80},
	peers: {address: name, port: 1},
});
const instances = ['one', 'two', 'three', 'four', 'five'].map(name => record(name));

interface ListAskedOptions {
	/** What the first upstream that is asked answers. */
	readonly failure?: Either<CodedError, UpstreamAnswer>;
	/** Whether the store answers no question but the first one. */
	readonly isStoreAway?: boolean;
	/** Whether other instances follow this one. */
	readonly isFollowed?: boolean;
}

const nothingNew: UpstreamAnswer = {
	kind: 'changes', changes: [], index: INDEX, ageMs: 0, returnedMs: undefined,
};

/** Follows a store and upstreams; lists whom the feed asked, in order. */
async function listAsked({failure = Right(nothingNew), isStoreAway = false, isFollowed = false}: ListAskedOptions): Promise<readonly string[]> {
	const asked: string[] = [];
	let nowMs = 0;
	const now = (): number => nowMs;
	const note = (whom: string): void => {
		asked.push(whom);
		if (asked.length === MOST_ASKED) {
			feed.stop();
		}
	};

	const store = {
		snapshot: () => EitherAsync.liftEither(Right({values: [], index: INDEX})),
		changes() {
			note('store');
			return EitherAsync.liftEither(isStoreAway && asked.length > 1 ? Left({code: 'unavailable', message: 'no answer'}) : Right({kind: 'changes', changes: [], index: INDEX}));
		},
	} as unknown as KeyValueStore;
	const askEndpoint = async ({endpoint: {address}}: {readonly endpoint: Endpoint}): Promise<Either<CodedError, UpstreamAnswer>> => {
		const isFirst = !asked.some(whom => whom !== 'store');
		note(address);
		return isFirst ? failure : Right(nothingNew);
	};

	const relay = new ChangeRelay({now});

	const feed: StoreFeed = new StoreFeed({
		store,
		view: new LiveView({
			format: {readSubject, decodeRouteSet, decodeServer}, onChange() {/* Nothing changes. */}, onRoutes() {/* There are none. */}, records: [], onServerLost() {/* There are none. */},
		}),
		relay,
		upstreams: new UpstreamLink({
			self: record('own'), instances: () => instances, askEndpoint, onChange() {/* The order of questions tells. */}, now,
		}),
		prefix: '',
		async sleep(milliseconds) {
			nowMs += milliseconds;
		},
		now,
		random: () => 0,
		onAvailability() {/* The store answers always. */},
		onRead() {
			if (isFollowed) {
				void relay.waitForChanges({afterIndex: INDEX, signal: new AbortController().signal});
			}
		},
	});
	await feed.run();
	return asked;
}

const failures: ReadonlyArray<{name: string; failure: Either<CodedError, UpstreamAnswer>}> = [
	{name: 'that was silent', failure: Left({code: 'upstream-silent', message: 'no answer'})},
	{name: 'that has no word of the store', failure: Right({kind: 'unavailable'})},
	{name: 'that forgot the changes', failure: Right({kind: 'history-lost'})},
	{
		name: 'whose word is old', failure: Right({
			kind: 'changes', changes: [], index: INDEX, ageMs: 60_000, returnedMs: undefined,
		}),
	},
];

describe('a feed after an upstream failed', () => {
	for (const {name, failure} of failures) {
		it(`asks the store before any other upstream than one ${name}, since what was not told may be late`, async () => {
			const asked = await listAsked({failure});
			const firstUpstream = asked.findIndex(whom => whom !== 'store');
			assert.notEqual(firstUpstream, -1, JSON.stringify(asked));
			assert.equal(asked[firstUpstream + 1], 'store', JSON.stringify(asked));
			assert.ok(asked.slice(firstUpstream + 2).some(whom => whom !== 'store'), 'upstreams are asked again afterwards');
		});
	}
});

const followed: ReadonlyArray<{name: string; isStoreAway: boolean; asksUpstreams: boolean}> = [
	{name: 'follows the store itself', isStoreAway: false, asksUpstreams: false},
	{name: 'asks upstreams where the store does not answer it', isStoreAway: true, asksUpstreams: true},
];

describe('a feed that others follow', () => {
	for (const {name, isStoreAway, asksUpstreams} of followed) {
		it(name, async () => {
			const asked = await listAsked({isStoreAway, isFollowed: true});
			assert.equal(asked.some(whom => whom !== 'store'), asksUpstreams, JSON.stringify(asked));
		});
	}
});
