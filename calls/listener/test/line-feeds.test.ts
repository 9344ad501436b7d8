/** Guards against heads with bare line feeds, in which a proxy in front of the listener may see other requests than it does. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const PAUSE_MS = 20;
const REST = 'host: a\r\n\r\n';
const LAST = 'GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';
const BODY = 'GET /in-body HTTP/1.1\nhost: a\r\n\n';
const UPLOAD = `POST /upload HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY.length}\r\n\r\n`;
const CHUNKS = 'POST /upload HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
const CHUNK = `${BODY.length.toString(16)}\r\n${BODY}\r\n`;

const cases: ReadonlyArray<{name: string; pieces: readonly string[]; run: readonly string[]; statuses: readonly string[]}> = [
	{
		name: 'a request line', pieces: [`GET /a HTTP/1.1\n${REST}${LAST}`], run: [], statuses: ['400'],
	},
	{
		name: 'a request line with more spaces', pieces: [`GET  /a  HTTP/1.1\n${REST}${LAST}`], run: [], statuses: ['400'],
	},
	{
		name: 'a request line that arrives in two pieces', pieces: ['GET /a HTTP/1.1', `\n${REST}${LAST}`], run: [], statuses: ['400'],
	},
	{
		name: 'the end of a head', pieces: [`GET /a HTTP/1.1\r\nhost: a\r\n\n${LAST}`], run: [], statuses: ['400'],
	},
	{
		name: 'the end of a head that arrives in two pieces', pieces: ['GET /a HTTP/1.1\r\nhost: a\r\n', `\n${LAST}`], run: [], statuses: ['400'],
	},
	{
		name: 'a request line behind a complete request', pieces: [`GET /a HTTP/1.1\r\n${REST}GET /b HTTP/1.1\n${REST}${LAST}`], run: ['/a '], statuses: ['200'],
	},
	{
		name: 'a request line behind a body', pieces: [`${UPLOAD}${BODY}GET /b HTTP/1.1\n${REST}${LAST}`], run: [`/upload ${BODY}`], statuses: ['200'],
	},
	{
		name: 'a body, which is passed on unchanged', pieces: [`${UPLOAD}${BODY}${LAST}`], run: [`/upload ${BODY}`, '/last '], statuses: ['200', '200'],
	},
	{
		name: 'a body that arrives byte by byte', pieces: [UPLOAD, ...BODY, LAST], run: [`/upload ${BODY}`, '/last '], statuses: ['200', '200'],
	},
	{
		name: 'chunks', pieces: [`${CHUNKS}${CHUNK}`, `${CHUNK}0\r\n\r\n${LAST}`], run: [`/upload ${BODY}${BODY}`, '/last '], statuses: ['200', '200'],
	},
];

describe('a listener that rejects bare line feeds in heads', () => {
	for (const {name, pieces, run, statuses} of cases) {
		it(`receives one in ${name}`, async () => {
			const ran: string[] = [];
			const listener = new CallerListener({
				counters: new ServedCounters(), maxCalls: 10, rejectsBareLineFeeds: true, async route({request, response}) {
					ran.push(`${request.url!} ${await text(request)}`);
					setTimeout(() => response.end('ran'), PAUSE_MS);
				},
			});
			listener.server.listen(0, '127.0.0.1');
			await once(listener.server, 'listening');
			const caller = connect((listener.server.address() as AddressInfo).port, '127.0.0.1').setNoDelay(true);
			const received = text(caller);
			for (const piece of pieces) {
				caller.write(piece);
				await sleep(PAUSE_MS);
			}

			const responses = await received;
			listener.server.close();
			// Bodies are read at the same time, in any order.
			assert.deepEqual(ran.toSorted(), run.toSorted());
			assert.deepEqual([...responses.matchAll(/HTTP\/1\.1 (\d+)/gu)].map(([, status]) => status), statuses);
		});
	}
});
