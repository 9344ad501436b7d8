/** Guards against heads of which only a part is read. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const HEADER_BYTES = 4000;
/** Headers of four bytes that fit into it. */
const MAX_HEADERS = 1000;
/** Headers that each request states beside the small ones. */
const OTHER_HEADERS = 2;

const cases: ReadonlyArray<{name: string; headers: number; expected: {status: string; read: readonly number[]}}> = [
	{name: 'reads more headers than a hundred', headers: 150, expected: {status: '200', read: [150]}},
	{name: 'reads all headers that fit into its maximum size', headers: MAX_HEADERS, expected: {status: '200', read: [MAX_HEADERS]}},
	{name: 'rejects a request with more of them', headers: MAX_HEADERS + 1, expected: {status: '431', read: []}},
	{name: 'rejects a request with many more of them', headers: MAX_HEADERS * 3, expected: {status: '431', read: []}},
];

describe('a listener', () => {
	for (const {name, headers, expected} of cases) {
		it(name, async () => {
			const read: number[] = [];
			const listener = new CallerListener({
				counters: new ServedCounters(),
				maxCalls: 10,
				limits: {headerBytes: HEADER_BYTES, headersTimeoutMs: 5000, idleTimeoutMs: 5000},
				async route({request: {rawHeaders}, response}) {
					read.push(rawHeaders.length / 2);
					response.end();
				},
			});
			listener.server.listen(0, '127.0.0.1');
			await once(listener.server, 'listening');
			const caller = connect((listener.server.address() as AddressInfo).port, '127.0.0.1');
			let received = '';
			caller.on('data', (piece: Uint8Array) => {
				received += new TextDecoder().decode(piece);
			});
			caller.write(`GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${'a:\r\n'.repeat(headers - OTHER_HEADERS)}\r\n`);
			await once(caller, 'close');
			listener.server.close();
			assert.deepEqual({status: /^HTTP\/1\.1 (\d+)/u.exec(received)?.[1], read}, expected);
		});
	}
});
