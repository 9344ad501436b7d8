import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const HEADERS_TIMEOUT_MS = 100;
/** Longer than the headers timeout and the interval in which it is checked together. */
const STALL_MS = 1500;

/** A caller in a worker thread, which sends the given text and reports all data that it receives. */
const callerScript = `
const {connect} = require('node:net');
const {parentPort, workerData: {port, text}} = require('node:worker_threads');
let received = '';
const socket = connect(port, '127.0.0.1', () => socket.write(text));
socket.on('data', piece => { received += piece; }).on('error', () => {}).on('close', () => parentPort.postMessage(received));
`;

const cases: ReadonlyArray<{name: string; text: string; expected: {readonly runs: number; readonly status: string}}> = [
	{name: 'serves a request that arrived during the stall', text: 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', expected: {runs: 1, status: '200'}},
	{name: 'refuses a request whose headers did not arrive', text: 'GET / HTTP/1.1\r\nhost: a\r\n', expected: {runs: 0, status: '408'}},
];

describe('a listener whose process was stalled after a connection was opened', () => {
	for (const {name, text, expected} of cases) {
		it(name, async () => {
			let runs = 0;
			const listener = new CallerListener({
				counters: new ServedCounters(),
				maxCalls: 10,
				limits: {headerBytes: 1000, headersTimeoutMs: HEADERS_TIMEOUT_MS, idleTimeoutMs: 1000},
				async route({response}) {
					runs += 1;
					response.end('ran');
				},
			});
			listener.server.once('connection', () => {
				Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
			});
			listener.server.listen(0, '127.0.0.1');
			await once(listener.server, 'listening');
			const {port} = listener.server.address() as AddressInfo;
			const [received] = await once(new Worker(callerScript, {eval: true, workerData: {port, text}}), 'message') as [string];
			listener.server.close();
			assert.deepEqual({runs, status: received.split(' ')[1]}, expected);
		});
	}
});
