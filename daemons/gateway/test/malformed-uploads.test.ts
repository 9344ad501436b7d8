/** Guards against a process that ends because a server answers an upload that was refused for its malformed rest. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, HOST, rawResponse, until,
} from '@pomelopick/testing.gateway-fleet';
import {startGatewayWithRawServers} from './fixture.js';

/** More than the gateway buffers, so that the upload is passed on while it arrives. */
const FIRST_CHUNK_BYTES = 70_000;
const MALFORMED_CHUNK = 'no size\r\n';

/** When the server answers after the request has reached it, and the length of its response. */
const cases: ReadonlyArray<{name: string; workMs: number; malformedAfterMs: number; bodyBytes: number}> = [
	{
		name: 'short response after the refusal', workMs: 150, malformedAfterMs: 30, bodyBytes: 10,
	},
	{
		name: 'long response after the refusal', workMs: 150, malformedAfterMs: 30, bodyBytes: 200_000,
	},
	{
		name: 'short response about the time of the refusal', workMs: 30, malformedAfterMs: 30, bodyBytes: 10,
	},
	{
		name: 'long response about the time of the refusal', workMs: 30, malformedAfterMs: 30, bodyBytes: 200_000,
	},
	{
		name: 'long response before the malformed rest', workMs: 0, malformedAfterMs: 100, bodyBytes: 200_000,
	},
];

describe('an upload whose rest is malformed', () => {
	for (const {name, workMs, malformedAfterMs, bodyBytes} of cases) {
		it(`ends no process with a ${name}`, async () => {
			let arrivals = 0;
			const {gateway, settings, stop} = await startGatewayWithRawServers({
				servers: 2, onRequest({server, request: {requestId, path, socket}}) {
					arrivals += path === '/write/upload' ? 1 : 0;
					setTimeout(() => {
						socket.write(rawResponse({status: '200 OK', headers: [`x-request-id: ${requestId}`, `x-server-stamp: ${server}.${requestId}`], body: 'b'.repeat(bodyBytes)}));
					}, workMs);
				},
			});
			const endpoint = endpointOf(settings.listen.callers);
			try {
				const socket = connect({host: endpoint.address, port: endpoint.port});
				socket.on('error', () => {/* The connection may be reset. */});
				socket.resume();
				socket.write(`POST /write/upload HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: upload\r\ntransfer-encoding: chunked\r\n\r\n`);
				socket.write(`${FIRST_CHUNK_BYTES.toString(16)}\r\n${'u'.repeat(FIRST_CHUNK_BYTES)}\r\n`);
				await until(() => arrivals > 0);
				await sleep(malformedAfterMs);
				socket.write(MALFORMED_CHUNK);
				await sleep(workMs + malformedAfterMs);
				socket.destroy();
				assert.deepEqual([gateway.errors, gateway.hasExited()], [[], false]);
				const {status} = await callGateway({endpoint, path: '/read/sound'});
				assert.equal(status, 200);
			} finally {
				await stop();
			}
		});
	}
});
