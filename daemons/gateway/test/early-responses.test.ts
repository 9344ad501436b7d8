/** Guards against a connection that is stuck because the response to an upload came before its body had been read. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	endpointOf, HOST, rawResponse, until,
} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';
import type {GatewayWithRawServers} from './fixture.js';

/** More than the gateway buffers, so that the upload is passed on while it arrives. */
const FIRST_BYTES = 100_000;
const MAX_BODY_BYTES = 400_000;
const PAUSE_MS = 100;

interface Case {
	readonly name: string;
	readonly responseBytes: number;
	readonly restBytes: number;
	/** Whether the rest is sent without waiting for the response. */
	readonly isRestSentAtOnce: boolean;
}

const cases: readonly Case[] = [
	{
		name: 'the rest comes after a short response', responseBytes: 10, restBytes: 200_000, isRestSentAtOnce: false,
	},
	{
		name: 'the rest comes after a long response', responseBytes: 200_000, restBytes: 200_000, isRestSentAtOnce: false,
	},
	{
		name: 'the rest comes at once', responseBytes: 10, restBytes: 200_000, isRestSentAtOnce: true,
	},
	{
		name: 'nothing but the end of the body follows', responseBytes: 10, restBytes: 0, isRestSentAtOnce: false,
	},
];

const chunk = (bytes: number): string => bytes === 0 ? '' : `${bytes.toString(16)}\r\n${'u'.repeat(bytes)}\r\n`;

describe('a response to an upload that is not read yet', () => {
	let started: GatewayWithRawServers;
	before(async () => {
		started = await startGatewayWithRawServers({
			servers: 2, maxBodyBytes: MAX_BODY_BYTES, onRequest({server, request: {requestId, path, socket}}) {
				// The server sees no length of a body in chunks and responds at once.
				const bytes = Number(/\/(\d+)$/u.exec(path ?? '')?.[1] ?? 2);
				socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${server}.${requestId}`], body: 'b'.repeat(bytes)}));
			},
		});
	});
	after(async () => {
		await started.stop();
	});

	const open = (): {socket: Socket; received: () => string} => {
		const {address, port} = endpointOf(started.settings.listen.callers);
		const socket = connect({host: address, port});
		let received = '';
		socket.on('error', () => {/* The connection may be reset. */});
		socket.on('data', piece => {
			received += piece.toString('latin1');
		});
		return {socket, received: () => received};
	};

	const startUpload = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: upload\r\ntransfer-encoding: chunked\r\n\r\n${chunk(FIRST_BYTES)}`;

	for (const {name, responseBytes, restBytes, isRestSentAtOnce} of cases) {
		it(`leaves the connection usable when ${name}`, async () => {
			const {socket, received} = open();
			socket.write(startUpload(`/write/${responseBytes}`));
			if (!isRestSentAtOnce) {
				await until(() => received().endsWith('b'.repeat(responseBytes)) || socket.destroyed);
				await sleep(PAUSE_MS);
			}

			socket.write(`${chunk(restBytes)}0\r\n\r\n`);
			socket.write(`GET /read/2 HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: next\r\nx-deadline-ms: 3000\r\n\r\n`);
			await until(() => received().includes('x-request-id: next') || socket.destroyed);
			assert.match(received(), /HTTP\/1\.1 200 [^]*HTTP\/1\.1 200 [^]*x-request-id: next/u);
			socket.destroy();
		});
	}

	it('ends the connection when more follows than a body may have', async () => {
		const {socket, received} = open();
		socket.write(startUpload('/write/10'));
		await until(() => received().endsWith('b'.repeat(10)) || socket.destroyed);
		const timer = setInterval(() => {
			socket.write(chunk(MAX_BODY_BYTES / 2));
		}, PAUSE_MS);
		await until(() => socket.destroyed);
		clearInterval(timer);
	});
});
