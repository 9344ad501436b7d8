import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {callDirectly} from '@pomelopick/testing.callers';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const deployment: Deployment = {
	name: 'listener', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 4, slots: 4,
	}],
};

const MAX_BODY_BYTES = 100_000;
const MAX_CALLS = 3;

const path = '/v1/services/ledger/x';
const host = 'host: entry\r\n';

const malformed: ReadonlyArray<{name: string; bytes: string; status: number; reason: string}> = [
	{
		name: 'both a length and chunks', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'two lengths', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: 5\r\ncontent-length: 6\r\n\r\nhello`, status: 400, reason: 'bad-request',
	},
	{
		name: 'an encoding after chunked', bytes: `POST ${path} HTTP/1.1\r\n${host}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a space before the colon', bytes: `GET ${path} HTTP/1.1\r\n${host}transfer-encoding : chunked\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a bare carriage return in a header', bytes: `GET ${path} HTTP/1.1\r\n${host}x-one: a\rb\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a folded header', bytes: `GET ${path} HTTP/1.1\r\n${host}x-one: a\r\n b\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'no host', bytes: `GET ${path} HTTP/1.1\r\n\r\n`, status: 400, reason: '',
	},
	{
		name: 'HTTP/1.0', bytes: `GET ${path} HTTP/1.0\r\n${host}\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'no HTTP at all', bytes: 'hello\r\n\r\n', status: 400, reason: 'bad-request',
	},
	{
		name: 'headers beyond the limit', bytes: `GET ${path} HTTP/1.1\r\n${host}x-one: ${'a'.repeat(20_000)}\r\n\r\n`, status: 431, reason: 'headers-too-large',
	},
	{
		name: 'a service name that cannot be decoded', bytes: `GET /v1/services/%zz/x HTTP/1.1\r\n${host}\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a target without a path', bytes: `GET http://[ HTTP/1.1\r\n${host}\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'an unknown service', bytes: `GET /v1/services/none/x HTTP/1.1\r\n${host}\r\n`, status: 404, reason: 'unknown-service',
	},
	{
		name: 'a timeout that is not a number', bytes: `GET ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: soon\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a key with a space', bytes: `POST ${path} HTTP/1.1\r\n${host}x-call-attempt: 1\r\nidempotency-key: a b\r\ncontent-length: 0\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'an empty key', bytes: `POST ${path} HTTP/1.1\r\n${host}x-call-attempt: 1\r\nidempotency-key:\r\ncontent-length: 0\r\n\r\n`, status: 400, reason: 'bad-request',
	},
	{
		name: 'a content length beyond the limit', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, status: 413, reason: 'body-too-large',
	},
	{
		name: 'a body that does not arrive', bytes: `POST ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: 200\r\ncontent-length: 10\r\n\r\nhalf`, status: 408, reason: 'body-too-slow',
	},
];

describe('the listener for callers', () => {
	let fleet: Fleet;
	const sendBytes = async (bytes: string): Promise<string> => new Promise((resolve, reject) => {
		const {address, port} = fleet.entries[0]!.instance.callers;
		const socket = connect(port, address, () => {
			socket.write(bytes);
		});
		let text = '';
		socket.setTimeout(3000, () => {
			socket.destroy(new Error(`no answer to ${JSON.stringify(bytes.slice(0, 80))}`));
		});
		socket.on('data', (piece: Uint8Array) => {
			text += new TextDecoder().decode(piece);
			if (/\r\n\r\n.*\}$/su.test(text) || /content-length: 0|transfer-encoding: chunked\r\n\r\n0/iu.test(text)) {
				socket.destroy();
			}
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(text);
		});
	});
	const readCounters = async (): Promise<Record<string, number>> => {
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		return counters;
	};

	before(async () => {
		fleet = await startFleet({
			deployment, entries: 2, adjustSettings: settings => ({...settings, limits: {calls: MAX_CALLS, bodyBytes: MAX_BODY_BYTES}}),
		});
	});
	after(async () => {
		await fleet.stop();
	});

	for (const {name, bytes, status, reason} of malformed) {
		it(`refuses ${name}`, async () => {
			const before = await readCounters();
			const text = await sendBytes(bytes);
			assert.match(text, new RegExp(`^HTTP/1.1 ${status} `, 'u'));
			if (reason !== '') {
				assert.match(text, new RegExp(`"title":"${reason}".*"execution":"not-run"`, 'su'));
				const after = await readCounters();
				assert.equal((after[`refusal.${reason}`] ?? 0) - (before[`refusal.${reason}`] ?? 0), 1);
			}
		});
	}

	it('ran none of the refused requests', async () => {
		assert.deepEqual(await fleet.listExecutions(), []);
	});

	it('refuses a chunked body once it exceeds the limit', async () => {
		const chunk = `4000\r\n${'z'.repeat(0x40_00)}\r\n`;
		const text = await sendBytes(`POST ${path} HTTP/1.1\r\n${host}transfer-encoding: chunked\r\n\r\n${chunk.repeat(8)}0\r\n\r\n`);
		assert.match(text, /"title":"body-too-large"/u);
	});

	it('refuses calls beyond its limit at once and serves the rest', async () => {
		const agent = new Agent({connections: 64});
		const {callers} = fleet.entries[0]!.instance;
		const records = await Promise.all(Array.from({length: MAX_CALLS * 4}, async (_, index) => callDirectly({
			endpoint: callers, service: 'ledger', path: `/full/${index}?workMs=1000`, timeoutMs: 8000, dispatcher: agent,
		})));
		await agent.destroy();
		const full = records.filter(({reason}) => reason === 'instance-full');
		assert.ok(full.length >= MAX_CALLS && full.every(({execution}) => execution === 'not-run'), `${full.length} refused`);
		assert.ok(records.some(({ended}) => ended === 'answered'));
	});

	it('on a planned stop, leaves the look-up first, asks callers to close connections, finishes calls in progress and ends', async () => {
		const [leaving, staying] = fleet.entries as [Fleet['entries'][number], Fleet['entries'][number]];
		const agent = new Agent({connections: 4});
		const {callers} = leaving.instance;
		const origin = `http://${callers.address}:${callers.port}`;
		// An idle keep-alive connection must not delay the stop.
		const first = await request(`${origin}/v1/entries?service=ledger`, {dispatcher: agent});
		await first.body.dump();
		const inFlight = callDirectly({
			endpoint: callers, service: 'ledger', path: '/slow?workMs=2500', timeoutMs: 8000, dispatcher: agent,
		});
		await sleep(100);
		const startedAtMs = performance.now();
		const stopped = leaving.child.stop();
		await sleep(100);
		const lookup = await request(`${origin}/v1/entries?service=ledger`, {dispatcher: agent});
		const {entries} = await lookup.body.json() as {entries: Array<{instance: string}>};
		assert.deepEqual(entries.map(({instance}) => instance), [staying.instance.id]);
		assert.equal(lookup.headers.connection, 'close');
		const early = await callDirectly({
			endpoint: callers, service: 'ledger', path: '/early', timeoutMs: 3000, dispatcher: agent,
		});
		assert.equal(early.ended, 'answered');
		let late = early;
		while (late.ended === 'answered') {
			await sleep(50);
			late = await callDirectly({
				endpoint: callers, service: 'ledger', path: '/late', timeoutMs: 3000, dispatcher: agent,
			});
		}

		assert.deepEqual([late.reason, late.execution], ['instance-leaving', 'not-run']);
		const {ended} = await inFlight;
		assert.equal(ended, 'answered');
		assert.equal(await stopped, 0);
		await agent.destroy();
		process.stdout.write(`planned stop with a call of 2,500 ms in progress: ${Math.round(performance.now() - startedAtMs)} ms\n`);
	});
});
