/** Guards against requests that are run although a response before them on their connection closes it. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const BODY = 'x'.repeat(10);

describe('a listener that refuses a request before its body has arrived, behind a request in progress', () => {
	it('does not run the request behind it, and answers the first', async () => {
		const run: string[] = [];
		let first: ServerResponse;
		const listener = new CallerListener({
			counters: new ServedCounters(), maxCalls: 10, async route({request: {headers}, response}) {
				const id = String(headers['x-id']);
				run.push(id);
				if (id === 'first') {
					first = response;
				} else if (id === 'refused') {
					sendRefusal({response, id, refusal: {reason: 'unknown-route', execution: 'not-run', detail: 'no route'}});
				}
			},
		});
		listener.server.listen(0, '127.0.0.1');
		await once(listener.server, 'listening');
		const caller = connect((listener.server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		caller.on('data', (piece: Uint8Array) => {
			received += new TextDecoder().decode(piece);
		});
		const send = async (text: string): Promise<void> => {
			const read = once(listener.server, 'request');
			caller.write(text);
			await read;
		};

		await send('GET / HTTP/1.1\r\nhost: a\r\nx-id: first\r\n\r\n');
		await send(`POST / HTTP/1.1\r\nhost: a\r\nx-id: refused\r\ncontent-length: ${BODY.length}\r\n\r\n`);
		await send(`${BODY}GET / HTTP/1.1\r\nhost: a\r\nx-id: behind\r\n\r\n`);
		first!.end('ran');
		await once(caller, 'close');
		listener.server.close();
		assert.deepEqual(run, ['first', 'refused']);
		assert.deepEqual([...received.matchAll(/HTTP\/1\.1 (\d+)/gu)].map(([, status]) => status), ['200', '404']);
	});
});
