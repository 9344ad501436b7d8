/** Malformed messages are refused with an error that names the field, and an owner that does not answer delays no further upload. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {
	createReleaseListener, createReservationListener, decodeUploadOutcome, decodeUploadRelease, decodeUploadRequest, FleetUploads, RELEASES_PATH, RESERVATIONS_PATH, UploadClient,
} from '@pomelopick/calls.uploads';
import type {FleetUploadsOptions, UploadOwner, UploadRequest} from '@pomelopick/calls.uploads';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {listenOnLoopback} from '@pomelopick/testing.gateway-fleet';

const server = 'i-1' as BackendServerName;
const release = {
	server, instance: 'a', process: 3, upload: 17,
};
const request: UploadRequest = {...release, bytes: 1_048_576, validMs: 5800};

const badReleases: ReadonlyArray<readonly [field: string, value: unknown]> = [
	['server', null],
	['server', []],
	['server', 'text'],
	['server', {...request, server: ''}],
	['server', {...request, server: 'x'.repeat(4097)}],
	['instance', {...request, instance: 7}],
	['instance', {...request, instance: undefined}],
	['process', {...request, process: -1}],
	['process', {...request, process: '3'}],
	['upload', {...request, upload: 0.5}],
	['upload', {...request, upload: Number.MAX_VALUE}],
];
const badRequests: typeof badReleases = [
	...badReleases,
	['bytes', {...request, bytes: 0}],
	['bytes', {...request, bytes: '1'}],
	['bytes', {...request, bytes: 2 ** 53}],
	['validMs', {...request, validMs: 0}],
	['validMs', {...request, validMs: 86_400_001}],
	['validMs', {...release, bytes: 1}],
];
const badOutcomes: typeof badReleases = [
	['granted', null],
	['granted', {}],
	['granted', {granted: 'yes'}],
	['retryAfterMs', {granted: false}],
	['retryAfterMs', {granted: false, retryAfterMs: -1}],
	['retryAfterMs', {granted: false, retryAfterMs: 1e9}],
];
const tables = [
	{name: 'a release', decode: decodeUploadRelease, cases: badReleases},
	{name: 'a request', decode: decodeUploadRequest, cases: badRequests},
	{name: 'an answer', decode: decodeUploadOutcome, cases: badOutcomes},
] as const;

describe('messages about uploads', () => {
	for (const {name, decode, cases} of tables) {
		for (const [field, value] of cases) {
			it(`are refused as ${name} for ${field}: ${JSON.stringify(value).slice(0, 80)}`, () => {
				const error = decode(JSON.stringify(value)).swap().unsafeCoerce();
				assert.equal(error.code, 'malformed-upload-message');
				assert.ok(error.message.startsWith(`${field}: `), error.message);
			});
		}

		it(`are refused as ${name} when they are no JSON`, () => {
			assert.equal(decode('{').swap().unsafeCoerce().code, 'malformed-value');
		});
	}

	it('are read as they were written, without fields of later builds', () => {
		assert.deepEqual(decodeUploadRequest(JSON.stringify({...request, later: 1})).unsafeCoerce(), request);
		assert.deepEqual(decodeUploadRelease(JSON.stringify(request)).unsafeCoerce(), release);
		assert.deepEqual(decodeUploadOutcome('{"granted":true}').unsafeCoerce(), {granted: true});
		assert.deepEqual(decodeUploadOutcome('{"granted":false,"retryAfterMs":200}').unsafeCoerce(), {granted: false, retryAfterMs: 200});
	});
});

const endpointCases: ReadonlyArray<readonly [name: string, method: string, path: string, body: string, status: number, text: RegExp]> = [
	['a malformed request', 'POST', RESERVATIONS_PATH, '{"server":7}', 400, /^server: /u],
	['a malformed release', 'POST', RELEASES_PATH, JSON.stringify({...release, upload: -1}), 400, /^upload: /u],
	['another method', 'PUT', RESERVATIONS_PATH, JSON.stringify(request), 400, /^expected POST/u],
	['too many bytes', 'POST', RELEASES_PATH, ' '.repeat(65_537), 400, /^expected POST/u],
	['a request for a shard of another owner', 'POST', RESERVATIONS_PATH, JSON.stringify(request), 409, /^$/u],
	['a release', 'POST', RELEASES_PATH, JSON.stringify(release), 204, /^$/u],
];

describe('an owner', () => {
	for (const [name, method, path, body, status, text] of endpointCases) {
		it(`responds ${status} to ${name}`, async () => {
			const onMalformed = (): void => {/* The response names it. */};
			const listeners = new Map([
				[RESERVATIONS_PATH, createReservationListener({reserve: () => undefined, onMalformed})],
				[RELEASES_PATH, createReleaseListener({release() {/* Nothing is reserved. */}, onMalformed})],
			]);
			const {endpoint: {address, port}, close} = await listenOnLoopback((received, response) => {
				listeners.get(received.url!)!(received, response);
			});
			const response = await fetch(`http://${address}:${port}${path}`, {method, body});
			assert.equal(response.status, status);
			assert.match(await response.text(), text);
			close();
		});
	}
});

const statuses = [[404, 'unsupported'], [409, 'not-owner'], [500, 'unexpected-status'], [200, 'malformed-value']] as const;

describe('a client', () => {
	for (const [status, code] of statuses) {
		it(`tells status ${status} from others`, async () => {
			const {endpoint, close} = await listenOnLoopback((_, response) => {
				response.writeHead(status).end();
			});
			const client = new UploadClient();
			const answered = await client.reserve({endpoint, request});
			client.close();
			close();
			assert.equal(answered.swap().unsafeCoerce().code, code);
		});
	}
});

const owner: UploadOwner = {
	id: 'b' as InstanceId, process: 1, peers: {address: '127.0.0.1', port: 9}, isSelf: false,
};

/** Creates the reservations of an instance whose time a test sets, and what was asked and counted. */
function createUploads(options: Partial<FleetUploadsOptions>) {
	const events: string[] = [];
	const clock = {nowMs: 0};
	const uploads = new FleetUploads({
		self: {id: 'a' as InstanceId, process: 3},
		findOwner: () => owner,
		own: {reserve: () => undefined, release() {/* Not used. */}},
		client: {reserve: async () => Right({granted: true}), release: async () => undefined},
		use: {
			record({outcome}) {
				events.push(outcome);
			},
		},
		refusals: {line() {/* Not observed. */}, accept() {/* Not observed. */}},
		count(event) {
			events.push(event);
		},
		now: () => clock.nowMs,
		...options,
	});
	return {uploads, events, clock};
}

const ask = {server, bytes: 5, validMs: 1000.5};

describe('reservations', () => {
	it('are made without a message at an instance that owns the shard itself', async () => {
		const released: unknown[] = [];
		const {uploads, events} = createUploads({
			findOwner: () => ({...owner, isSelf: true}), own: {
				reserve: ({validMs}) => validMs === 1001 ? {granted: true} : undefined, release(id) {
					released.push(id);
				},
			},
		});
		const reserved = await uploads.reserve(ask);
		reserved.unsafeCoerce().end();
		assert.deepEqual([events, released], [['granted'], [{
			server, instance: 'a', process: 3, upload: 1,
		}]]);
	});

	it('are refused with the time that the owner states', async () => {
		const {uploads} = createUploads({client: {reserve: async () => Right({granted: false, retryAfterMs: 70}), release: async () => undefined}});
		const reserved = await uploads.reserve(ask);
		const {reason, retryAfterMs} = reserved.swap().unsafeCoerce();
		assert.deepEqual([reason, retryAfterMs], ['no-room', 70]);
	});

	it('are refused when the shard has no owner', async () => {
		const {uploads, events} = createUploads({findOwner: () => undefined});
		const reserved = await uploads.reserve(ask);
		assert.equal(reserved.swap().unsafeCoerce().reason, 'owner-unreachable');
		assert.deepEqual(events, ['upload.no-owner', 'unreachable']);
	});

	it('are released at an owner that did not answer, which is not asked again for half a second', async () => {
		const {uploads, events, clock} = createUploads({client: {reserve: async () => Left({code: 'not-answered', message: 'late'}), release: async () => undefined}});
		await uploads.reserve(ask);
		clock.nowMs = 499;
		await uploads.reserve(ask);
		clock.nowMs = 500;
		await uploads.reserve(ask);
		const counts = ['upload.asked', 'upload.backed-off', 'unreachable'].map(counted => events.filter(event => event === counted).length);
		assert.deepEqual([...counts, events.includes('upload-release.sent')], [2, 1, 3, true]);
	});
});
