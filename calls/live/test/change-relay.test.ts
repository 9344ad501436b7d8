import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {
	ChangeRelay, createChangeListener, decodeUpstreamAnswer, encodeUpstreamAnswer, UpstreamClient,
} from '@pomelopick/calls.live';
import type {UpstreamAnswer} from '@pomelopick/calls.live';
import {toIndex} from '@pomelopick/platform.store';
import type {StoreChange} from '@pomelopick/platform.store';

const written: StoreChange = {kind: 'written', value: {key: 'servers/a', value: new TextEncoder().encode('{"ü":1}'), modifyIndex: 6}};
const removed: StoreChange = {kind: 'removed', key: 'servers/b', modifyIndex: 7};

const answers: readonly UpstreamAnswer[] = [
	{
		kind: 'changes', changes: [written, removed], index: 9, ageMs: 12.5, returnedMs: 300,
	},
	{
		kind: 'changes', changes: [], index: 9, ageMs: 0, returnedMs: undefined,
	},
	{kind: 'history-lost'},
	{kind: 'unavailable'},
];

const malformed: ReadonlyArray<{text: string; field: RegExp}> = [
	{text: 'not JSON', field: /JSON/u},
	{text: '{"kind":"other"}', field: /kind/u},
	{text: '{"kind":"changes","changes":[],"ageMs":0}', field: /index/u},
	{text: '{"kind":"changes","changes":[],"index":1,"ageMs":-1}', field: /ageMs/u},
	{text: '{"kind":"changes","changes":[],"index":1,"era":-1,"ageMs":0}', field: /era/u},
	{text: '{"kind":"changes","changes":[{"key":1}],"index":1,"ageMs":0}', field: /changes\.0/u},
];

describe('the answer of an upstream', () => {
	for (const answer of answers) {
		it(`is decoded as it was encoded: ${encodeUpstreamAnswer(answer).slice(0, 60)}`, () => {
			const read = decodeUpstreamAnswer({text: encodeUpstreamAnswer(answer), defaultEra: undefined}).unsafeCoerce();
			assert.deepEqual(JSON.parse(encodeUpstreamAnswer(read)), JSON.parse(encodeUpstreamAnswer(answer)));
			assert.equal(read.kind, answer.kind);
		});
	}

	it('is refused without its era when that must be stated, and is of the default era otherwise', () => {
		const text = '{"kind":"changes","changes":[],"index":5,"ageMs":0}';
		assert.ok(decodeUpstreamAnswer({text, defaultEra: undefined}).isLeft());
		const answer = decodeUpstreamAnswer({text, defaultEra: 3}).unsafeCoerce();
		assert.ok(answer.kind === 'changes' && answer.index === toIndex({era: 3, revision: 5}));
	});

	for (const {text, field} of malformed) {
		it(`is refused with the name of the wrong field: ${text}`, () => {
			assert.match(decodeUpstreamAnswer({text, defaultEra: 1}).swap().map(({message}) => message).orDefault(''), field);
		});
	}
});

describe('ChangeRelay', () => {
	const never = new AbortController().signal;
	const create = ({nowMs = 1000} = {}) => {
		const clock = {nowMs};
		const relay = new ChangeRelay({now: () => clock.nowMs});
		return {relay, clock};
	};

	it('has no changes before the first snapshot of the store, nor after it is closed', async () => {
		const {relay} = create();
		assert.deepEqual(await relay.waitForChanges({afterIndex: 1, signal: never}), {kind: 'unavailable'});
		relay.restart({index: 5});
		const requested = relay.waitForChanges({afterIndex: 1, signal: never});
		relay.close();
		assert.deepEqual(await requested, {kind: 'unavailable'});
		assert.deepEqual(await relay.waitForChanges({afterIndex: 1, signal: never}), {kind: 'unavailable'});
	});

	it('answers waiting requests with the next confirmation, even if nothing changed', async () => {
		const {relay} = create();
		relay.restart({index: 5});
		const requested = [5, 5, 6].map(async afterIndex => relay.waitForChanges({afterIndex, signal: never}));
		relay.confirm({
			changes: [], index: 5, confirmedAtMs: 990, returnedAtMs: 100,
		});
		const answered = await Promise.all(requested);
		assert.deepEqual(answered[0], {
			kind: 'changes', changes: [], index: 5, ageMs: 10, returnedMs: 900,
		});
		assert.equal(answered[0], answered[1], 'requests with the same index get the same answer');
		assert.equal(relay.pendingRequests, 0);
	});

	it('answers at once with the changes that the requesting instance lacks, and their age', async () => {
		const {relay, clock} = create();
		relay.restart({index: 5});
		relay.confirm({
			changes: [written, removed], index: 7, confirmedAtMs: 1000, returnedAtMs: Number.NEGATIVE_INFINITY,
		});
		clock.nowMs = 1400;
		assert.deepEqual(await relay.waitForChanges({afterIndex: 6, signal: never}), {
			kind: 'changes', changes: [removed], index: 7, ageMs: 400, returnedMs: undefined,
		});
		assert.deepEqual(await relay.waitForChanges({afterIndex: 4, signal: never}), {kind: 'history-lost'});
	});

	it('has no changes for an instance that has read the store after a return that this one has not seen', async () => {
		const {relay} = create();
		relay.restart({index: toIndex({era: 1, revision: 9})});
		assert.deepEqual(await relay.waitForChanges({afterIndex: toIndex({era: 2, revision: 5}), signal: never}), {kind: 'unavailable'});
	});

	it('tells waiting requests at once that the store was read again', async () => {
		const {relay} = create();
		relay.restart({index: toIndex({era: 1, revision: 9})});
		const requested = relay.waitForChanges({afterIndex: toIndex({era: 1, revision: 9}), signal: never});
		relay.restart({index: toIndex({era: 2, revision: 5})});
		assert.deepEqual(await requested, {kind: 'history-lost'});
	});

	it('answers waiting requests at once when the store fails', async () => {
		const {relay} = create();
		relay.restart({index: 5});
		const requested = relay.waitForChanges({afterIndex: 5, signal: never});
		relay.fail();
		assert.deepEqual(await requested, {kind: 'unavailable'});
	});

	it('drops the request of an instance that disconnected', async () => {
		const {relay} = create();
		relay.restart({index: 5});
		const connection = new AbortController();
		const requested = relay.waitForChanges({afterIndex: 5, signal: connection.signal});
		connection.abort();
		assert.deepEqual(await requested, {kind: 'unavailable'});
		assert.equal(relay.pendingRequests, 0);
	});

	it('has followers for a while after a request', async () => {
		const {relay, clock} = create();
		relay.restart({index: 5});
		assert.equal(relay.hasFollowers, false);
		void relay.waitForChanges({afterIndex: 5, signal: never});
		assert.equal(relay.hasFollowers, true);
		clock.nowMs += 3000;
		assert.equal(relay.hasFollowers, false);
	});
});

describe('changes over HTTP', () => {
	const paths: ReadonlyArray<{path: string; status: number}> = [
		{path: '/changes?after=0', status: 200},
		{path: '/changes?after=0&era=0', status: 200},
		{path: '/changes?after=0&era=8192', status: 400},
		{path: '/changes?after=0&era=-1', status: 400},
		{path: '/changes?after=999999999999999&era=1', status: 400},
		{path: '/changes', status: 400},
		{path: '/changes?after=-1', status: 400},
		{path: '/changes?after=1e9', status: 400},
		{path: '/changes?after=9999999999999999', status: 400},
		{path: '/other', status: 404},
	];

	it('are requested with an index; any other request is refused', async () => {
		const {relay, stop, endpoint} = await startListener();
		relay.close();
		const statuses = await Promise.all(paths.map(async ({path}) => {
			const {status} = await fetch(`http://${endpoint.address}:${endpoint.port}${path}`);
			return status;
		}));
		assert.deepEqual(statuses, paths.map(({status}) => status));
		await stop();
	});

	it('arrive at the requesting instance, which gets an error when no answer arrives', async () => {
		const {relay, stop, endpoint} = await startListener();
		const client = new UpstreamClient();
		const {signal} = new AbortController();
		relay.restart({index: 5});
		relay.confirm({
			changes: [written], index: 6, confirmedAtMs: performance.now(), returnedAtMs: Number.NEGATIVE_INFINITY,
		});
		const requested = await client.requestChanges({
			endpoint, afterIndex: 5, mustStateEra: false, timeoutMs: 5000, signal,
		});
		const answer = requested.unsafeCoerce();
		assert.ok(answer.kind === 'changes' && answer.changes.length === 1 && answer.index === 6);
		const late = await client.requestChanges({
			endpoint, afterIndex: 6, mustStateEra: false, timeoutMs: 50, signal,
		});
		assert.equal(late.swap().map(({code}) => code).orDefault(''), 'upstream-silent');
		await stop();
		const gone = await client.requestChanges({
			endpoint, afterIndex: 6, mustStateEra: false, timeoutMs: 5000, signal,
		});
		assert.ok(gone.isLeft());
		client.close();
	});
});

async function startListener() {
	const relay = new ChangeRelay({now: () => performance.now()});
	const server = createServer(createChangeListener({relay}));
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		relay,
		endpoint: {address: '127.0.0.1', port},
		async stop() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
