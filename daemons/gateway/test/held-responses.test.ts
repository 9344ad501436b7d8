/** Guards against a process that ends because a response ends or is reset while the gateway waits for its slow caller. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, HOST, rawResponse,
} from '@pomelopick/testing.gateway-fleet';
import type {RawRequest} from '@pomelopick/testing.gateway-fleet';
import type {Endpoint} from '@pomelopick/core.types';
import {readPeakMemoryKb, startGatewayWithRawServers} from './fixture.js';
import type {GatewayWithRawServers} from './fixture.js';

const PAIRS = 6;
/** Memory of the smallest machine on which users run a gateway, in kilobytes. */
const MAX_MEMORY_KB = 250 * 1024;
/** Time after which the first response of a pair is ready, and between the last byte of the second and a reset, in milliseconds. */
const FIRST_WORK_MS = 120;
const RESET_AFTER_MS = 30;
const LAST_CHUNK = '0\r\n\r\n';
/** Byte of the bodies. It is no digit of the size of a chunk, so that it can be counted in a response in chunks. */
const BODY_BYTE = 'x';
const OTHER_BYTES = /[^x]/gu;
const bodyLengths = [1, 57_000, 65_536, 70_000, 200_000, 2_000_000];

interface Case {
	readonly name: string;
	readonly framing: 'content-length' | 'chunks' | 'nothing';
	readonly end: 'complete' | 'reset';
}

const cases: readonly Case[] = [
	{name: 'a length, is complete, and its connection ends', framing: 'content-length', end: 'complete'},
	{name: 'a length, and is reset', framing: 'content-length', end: 'reset'},
	{name: 'chunks, is complete, and its connection ends', framing: 'chunks', end: 'complete'},
	{name: 'chunks, and is reset', framing: 'chunks', end: 'reset'},
	{name: 'neither length nor chunks, and its connection ends', framing: 'nothing', end: 'complete'},
	{name: 'neither length nor chunks, and is reset', framing: 'nothing', end: 'reset'},
];

/** Times after the request at which one for a tunnel is sent behind it, in milliseconds. */
const tunnelAfterMs = [0, 120];
const TUNNEL = `CONNECT ${HOST}:443 HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`;
const HELD_BYTES = 20_000_000;

/** Answers `/read/first` late and whole, and `/read/second/FRAMING/END/LENGTH` at once as the path says. */
function respond({requestId, path, socket}: RawRequest): void {
	const [kind, framing, end, length] = path.split('/').slice(2);
	const lines = ['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, `x-server-stamp: held.${requestId}`];
	if (kind !== 'second') {
		setTimeout(() => {
			socket.write(rawResponse({status: '200 OK', headers: lines.slice(1), body: requestId}));
		}, kind === 'first' ? FIRST_WORK_MS : 0);
		return;
	}

	const body = Buffer.alloc(Number(length), BODY_BYTE);
	const isReset = end === 'reset';
	if (framing === 'content-length') {
		lines.push(`content-length: ${body.length + Number(isReset)}`);
	} else if (framing === 'chunks') {
		lines.push('transfer-encoding: chunked');
	}

	socket.write([...lines, 'connection: close', '', ''].join('\r\n'));
	socket.write(framing === 'chunks' ? Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from(`\r\n${isReset ? '' : LAST_CHUNK}`)]) : body, () => {
		if (isReset) {
			setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
		} else {
			socket.end();
		}
	});
}

/** Sends two reads at once on one connection; resolves with everything that was received when it ends. */
async function readPair({endpoint, path, name}: {readonly endpoint: Endpoint; readonly path: string; readonly name: string}): Promise<string> {
	const socket = connect({host: endpoint.address, port: endpoint.port});
	const pieces: Uint8Array[] = [];
	socket.on('error', () => {/* A response that is cut resets the connection. */});
	socket.on('data', piece => {
		pieces.push(piece);
	});
	const requests = ['/read/first', path].map((target, index) => [
		`GET ${target} HTTP/1.1`, `host: ${HOST}`, `x-request-id: ${name}-${index}`, 'x-deadline-ms: 3000', `connection: ${index === 1 ? 'close' : 'keep-alive'}`, '', '',
	].join('\r\n'));
	socket.write(requests.join(''));
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	return Buffer.concat(pieces).toString('latin1');
}

/** Whether what was received behind the first response is a complete response with a body of the given length. */
function isWhole({received, length}: {readonly received: string; readonly length: number}): boolean {
	const response = received.slice(received.lastIndexOf('HTTP/1.1 '));
	const headEnd = response.indexOf('\r\n\r\n');
	const body = response.slice(headEnd + 4);
	const statedLength = /^content-length: (\d+)/imu.exec(response.slice(0, headEnd))?.[1];
	return response.startsWith('HTTP/1.1 200') && body.replaceAll(OTHER_BYTES, '').length === length
		&& (statedLength === undefined ? body.endsWith(LAST_CHUNK) : body.length === Number(statedLength));
}

describe('a response behind another one on its caller\'s connection', () => {
	for (const {name, framing, end} of cases) {
		it(`does not end the process, and is whole only if it was complete, with ${name}`, async () => {
			const started = await startGatewayWithRawServers({
				servers: 3, onRequest({request}) {
					respond(request);
				},
			});
			try {
				for (const length of bodyLengths) {
					await playPairs({
						started, path: `/read/second/${framing}/${end}/${length}`, length, expected: end === 'complete',
					});
				}
			} finally {
				await started.stop();
			}
		});
	}
});

async function playPairs({started: {gateway, settings}, path, length, expected}: {
	readonly started: GatewayWithRawServers;
	readonly path: string;
	readonly length: number;
	readonly expected: boolean;
}): Promise<void> {
	const endpoint = endpointOf(settings.listen.callers);
	const received = await Promise.all(Array.from({length: PAIRS}, async (_, index) => readPair({endpoint, path, name: `${length}-${index}`})));
	assert.deepEqual([gateway.errors, gateway.hasExited()], [[], false]);
	for (const [index, text] of received.entries()) {
		assert.match(text, new RegExp(`^HTTP/1.1 200 OK\\r\\n[^]*?\\r\\n\\r\\n${length}-${index}-0`, 'u'));
		assert.equal(isWhole({received: text, length}), expected, `${length} bytes`);
	}

	const {status} = await callGateway({endpoint, path: '/read/sound'});
	assert.equal(status, 200);
	const peakKb = await readPeakMemoryKb(gateway);
	assert.ok(peakKb < MAX_MEMORY_KB, `${peakKb} kB`);
}

describe('a response in front of a request for a tunnel', () => {
	for (const afterMs of tunnelAfterMs) {
		it(`is received whole although its caller's buffer was full, when the other is sent ${afterMs} ms later`, async () => {
			const started = await startGatewayWithRawServers({
				servers: 3, onRequest({request}) {
					respond(request);
				},
			});
			try {
				const received = await readInFrontOfTunnel({endpoint: endpointOf(started.settings.listen.callers), afterMs});
				assert.equal(/\r\n\r\n(?<body>x*)/u.exec(received)?.groups!.body!.length, HELD_BYTES);
				assert.match(received.slice(received.lastIndexOf(BODY_BYTE.repeat(10))), /^x+HTTP\/1\.1 400 /u);
			} finally {
				await started.stop();
			}
		});
	}
});

/** Reads a long response with a request for a tunnel behind it; resolves with everything that was received when the connection ends. */
async function readInFrontOfTunnel({endpoint, afterMs}: {readonly endpoint: Endpoint; readonly afterMs: number}): Promise<string> {
	const socket = connect({host: endpoint.address, port: endpoint.port});
	const pieces: Uint8Array[] = [];
	socket.on('error', () => {/* A response that is cut resets the connection. */});
	const request = [
		`GET /read/second/content-length/complete/${HELD_BYTES} HTTP/1.1`, `host: ${HOST}`, 'x-request-id: in-front', 'x-deadline-ms: 3000', '', '',
	].join('\r\n');
	if (afterMs === 0) {
		socket.write(request + TUNNEL);
	} else {
		socket.write(request);
		await sleep(afterMs);
		socket.write(TUNNEL);
		await sleep(afterMs);
	}

	socket.on('data', piece => {
		pieces.push(piece);
	});
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	return Buffer.concat(pieces).toString('latin1');
}
