import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {callDirectly} from '@pomelopick/testing.callers';
import {getJson, startFleet} from '@pomelopick/testing.fleet';
import type {Deployment, Fleet} from '@pomelopick/testing.fleet';

const deployment: Deployment = {
	name: 'hostile', regions: ['north', 'south'], failureDomainsPerRegion: 1, megabitsPerSecond: 100, regionDelayMs: 0, failureDomainDelayMs: 0, clientDelayMs: 0,
	services: [{
		name: 'ledger', priority: 'interactive', servers: 2, slots: 4,
	}],
};

const MAX_BODY_BYTES = 100_000;
const MAX_BUFFERED_BYTES = 2_000_000;
/** Number of bodies that are sent without their last byte. */
const INCOMPLETE_BODIES = 40;
/** Size of a body that is buffered whole, in bytes. */
const INCOMPLETE_BODY_BYTES = 65_000;
const SLOW_CONNECTIONS = 200;
const TRICKLE_MS = 200;
/** Longer than any timeout of the listener for slow senders; a connection that is still open afterwards is a failure. */
const OPEN_TIMEOUT_MS = 20_000;
const MAX_GROWTH_BYTES = 48 * 1024 * 1024;

const path = '/v1/services/ledger/hostile';
const host = 'host: entry\r\n';
const hidden = `GET ${path}/hidden HTTP/1.1\r\n${host}\r\n`;

interface Received {
	readonly text: string;
	readonly isClosed: boolean;
}

interface SendOptions {
	readonly socket: Socket;
	/** Sent one after the other, with a pause after each. */
	readonly pieces: readonly string[];
	/** Whether the last piece is repeated until the connection ends. */
	readonly repeatsLast?: boolean;
}

/** Sends pieces slowly and collects the received text until the other side closes the connection. */
async function trickle({socket, pieces, repeatsLast = false}: SendOptions): Promise<Received> {
	let text = '';
	socket.on('data', (piece: Uint8Array) => {
		text += new TextDecoder().decode(piece);
	});
	socket.on('error', () => undefined);
	const closed = new AbortController();
	socket.once('close', () => {
		closed.abort();
	});
	const endsAtMs = performance.now() + OPEN_TIMEOUT_MS;
	for (let index = 0; !closed.signal.aborted && performance.now() < endsAtMs; index += 1) {
		const piece = pieces[repeatsLast ? Math.min(index, pieces.length - 1) : index];
		if (piece !== undefined && socket.writable) {
			socket.write(piece);
		}

		await sleep(TRICKLE_MS);
	}

	const isClosed = closed.signal.aborted;
	socket.destroy();
	return {text, isClosed};
}

/** Lists the reasons of the refusals in a stream of responses, in order. */
function reasonsIn(text: string): readonly string[] {
	return [...text.matchAll(/"title":"([a-z-]+)"/gu)].map(match => match[1]!);
}

function countResponses(text: string): number {
	return [...text.matchAll(/HTTP\/1\.1 \d{3} /gu)].length;
}

const slow: ReadonlyArray<{name: string; pieces: readonly string[]; reason: string}> = [
	{name: 'a head that never ends', pieces: [`GET ${path} HTTP/1.1\r\n${host}`, 'x-one: a\r\n'], reason: 'headers-too-slow'},
	{name: 'a head that arrives byte by byte', pieces: ['G', 'E', 'T', ' ', '/'], reason: 'headers-too-slow'},
	{name: 'a body that arrives byte by byte', pieces: [`POST ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: 1500\r\ncontent-length: 1000\r\n\r\n`, 'a'], reason: 'body-too-slow'},
	{name: 'chunks that arrive byte by byte', pieces: [`POST ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: 1500\r\ntransfer-encoding: chunked\r\n\r\n`, '1\r\na\r\n'], reason: 'body-too-slow'},
];

const smuggled: ReadonlyArray<{name: string; bytes: string; reasons: readonly string[]}> = [
	{name: 'behind a length and chunks', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind chunks and a length', bytes: `POST ${path} HTTP/1.1\r\n${host}transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind two lengths', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: 0\r\ncontent-length: 40\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind two lengths in one header', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: 0, 40\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind a length that is not a number', bytes: `POST ${path} HTTP/1.1\r\n${host}content-length: +0\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind an unknown encoding', bytes: `POST ${path} HTTP/1.1\r\n${host}transfer-encoding: xchunked\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind a chunk whose length is not a number', bytes: `POST ${path} HTTP/1.1\r\n${host}transfer-encoding: chunked\r\n\r\n0x0\r\n\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind a line that ends in a bare line feed', bytes: `GET ${path} HTTP/1.1\n${host}\r\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind headers that end in bare line feeds', bytes: `GET ${path} HTTP/1.1\r\nhost: entry\nx-one: a\n\n${hidden}`, reasons: ['bad-request']},
	{name: 'behind bytes that are not HTTP', bytes: `hello\r\n\r\n${hidden}`, reasons: ['bad-request']},
];

describe('hostile connections', () => {
	let fleet: Fleet;
	const open = (): Socket => {
		const {address, port} = fleet.entries[0]!.instance.callers;
		return connect(port, address);
	};

	const readCounter = async (name: string): Promise<number> => {
		const {counters} = await getJson<{counters: Record<string, number>}>({endpoint: fleet.entries[0]!.instance.operators, path: '/v1/status'});
		return counters[name] ?? 0;
	};

	const countHidden = async (): Promise<number> => {
		const executions = await fleet.listExecutions();
		return executions.filter(execution => execution.path.includes('hidden')).length;
	};

	const readMemoryBytes = async (): Promise<number> => {
		const status = await readFile(`/proc/${fleet.entries[0]!.child.processId}/status`, 'utf8');
		return Number(/VmRSS:\s+(\d+)/u.exec(status)![1]) * 1024;
	};

	before(async () => {
		fleet = await startFleet({deployment, entries: 1, adjustSettings: settings => ({...settings, limits: {calls: 400, bodyBytes: MAX_BODY_BYTES, heldBytes: MAX_BUFFERED_BYTES}})});
	});
	after(async () => {
		await fleet.stop();
	});

	for (const {name, pieces, reason} of slow) {
		it(`are refused and closed: ${name}`, async () => {
			const before = await readCounter(`refusal.${reason}`);
			const {text, isClosed} = await trickle({socket: open(), pieces, repeatsLast: true});
			assert.deepEqual(reasonsIn(text), [reason]);
			assert.match(text, /"execution":"not-run"/u);
			assert.ok(isClosed, 'the connection stays open');
			assert.equal(await readCounter(`refusal.${reason}`) - before, 1);
		});
	}

	for (const {name, bytes, reasons} of smuggled) {
		it(`cannot smuggle a request ${name}`, async () => {
			const before = await readCounter(`refusal.${reasons[0]!}`);
			const {text, isClosed} = await trickle({socket: open(), pieces: [bytes]});
			assert.ok(countResponses(text) <= 1, text);
			assert.deepEqual(reasonsIn(text), reasons);
			assert.ok(isClosed, 'the connection stays open');
			assert.equal(await readCounter(`refusal.${reasons[0]!}`) - before, 1);
			assert.equal(await countHidden(), 0);
		});
	}

	it('get the response to a complete call before malformed bytes, and cannot smuggle a request behind these', async () => {
		const {text, isClosed} = await trickle({socket: open(), pieces: [`GET ${path}/whole?workMs=600 HTTP/1.1\r\n${host}\r\n`, `hello\r\n\r\n${hidden}`]});
		assert.match(text, /^HTTP\/1\.1 200 /u);
		assert.ok(isClosed, 'the connection stays open');
		assert.equal(await countHidden(), 0);
	});

	it('make the instance buffer no more bytes of bodies than the limit for all calls together', async () => {
		const sentBytes = INCOMPLETE_BODY_BYTES - 1;
		const bodies = await Promise.all(Array.from({length: INCOMPLETE_BODIES}, async () => trickle({
			socket: open(), pieces: [`POST ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: 2000\r\ncontent-length: ${INCOMPLETE_BODY_BYTES}\r\n\r\n${'a'.repeat(sentBytes)}`],
		})));
		const reasons = bodies.flatMap(({text}) => reasonsIn(text));
		const waited = reasons.filter(reason => reason === 'body-too-slow').length;
		assert.deepEqual(new Set(reasons), new Set(['body-too-slow', 'instance-full']));
		assert.ok(waited * sentBytes <= MAX_BUFFERED_BYTES, `${waited} bodies were buffered`);
		const served = await callDirectly({
			endpoint: fleet.entries[0]!.instance.callers, service: 'ledger', method: 'POST', path: '/served', body: 'a'.repeat(sentBytes), timeoutMs: 5000,
		});
		assert.equal(served.ended, 'answered');
	});

	it('occupy bounded memory while other calls are served', async () => {
		const before = await readMemoryBytes();
		const heads = Array.from({length: SLOW_CONNECTIONS}, async () => trickle({socket: open(), pieces: [`GET ${path} HTTP/1.1\r\n${host}`, `x-one: ${'a'.repeat(300)}\r\n`], repeatsLast: true}));
		const bodies = Array.from({length: SLOW_CONNECTIONS}, async () => trickle({
			socket: open(), pieces: [`POST ${path} HTTP/1.1\r\n${host}x-request-timeout-ms: 3000\r\ncontent-length: ${MAX_BODY_BYTES}\r\n\r\n`, 'a'.repeat(500)], repeatsLast: true,
		}));
		await sleep(1000);
		const served = await callDirectly({
			endpoint: fleet.entries[0]!.instance.callers, service: 'ledger', path: '/served', timeoutMs: 5000,
		});
		const growth = await readMemoryBytes() - before;
		const ended = await Promise.all([...heads, ...bodies]);
		assert.equal(served.ended, 'answered');
		assert.ok(growth < MAX_GROWTH_BYTES, `grew by ${growth} bytes`);
		assert.deepEqual(ended.filter(({isClosed}) => !isClosed), []);
		assert.deepEqual(new Set(ended.flatMap(({text}) => reasonsIn(text))), new Set(['headers-too-slow', 'body-too-slow']));
	});
});
