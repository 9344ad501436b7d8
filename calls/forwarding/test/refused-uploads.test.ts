/** Guards against refusals that callers lose because the connection is reset while they still send their bodies. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {sendRefusal} from '@pomelopick/calls.forwarding';

const BODY_BYTES = 16_777_216;
const PIECE = Buffer.alloc(65_536, 'x');
/** Time in which a caller that sends more slowly sends its body, in milliseconds: half of the time for which input is discarded. */
const SENDING_MS = 500;
const PIECE_INTERVAL_MS = 2;

const cases = [
	{name: 'sends its whole body at once', sendingMs: 0, bytes: BODY_BYTES},
	{name: 'sends its body in pieces', sendingMs: SENDING_MS, bytes: BODY_BYTES},
	{name: 'stops sending in the middle of its body', sendingMs: 0, bytes: BODY_BYTES / 2},
];

/** Writes a body in pieces, each as soon as it is due, so that the whole takes the same time on a slow machine. */
async function writeBody({caller, bytes, sendingMs}: {readonly caller: Socket; readonly bytes: number; readonly sendingMs: number}): Promise<void> {
	const startedAtMs = performance.now();
	for (let sent = 0; sent < bytes; sent += PIECE.length) {
		const dueMs = startedAtMs + (sendingMs * sent / bytes);
		while (performance.now() < dueMs) {
			await sleep(PIECE_INTERVAL_MS);
		}

		caller.write(PIECE);
		// The server, which is in this process, gets a turn between two pieces.
		await nextTurn();
	}
}

describe('a refusal before the end of a body', () => {
	for (const {name, sendingMs, bytes} of cases) {
		it(`reaches a caller that ${name} and reads afterwards`, async () => {
			const server = createServer((request, response) => {
				request.once('data', () => {
					request.pause();
					sendRefusal({response, id: 'call-1', refusal: {reason: 'instance-full', execution: 'not-run', detail: 'no room'}});
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			try {
				const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
				caller.write(`POST /upload HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
				await writeBody({caller, bytes, sendingMs});
				assert.match(await text(caller), /^HTTP\/1\.1 503 [\s\S]*"execution":"not-run"/u);
			} finally {
				server.closeAllConnections();
				server.close();
			}
		});
	}
});
