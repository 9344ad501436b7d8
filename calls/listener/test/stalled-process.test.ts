import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {CallerListener} from '@pomelopick/calls.listener';
import {ServedCounters} from '@pomelopick/core.telemetry';

const HEADERS_TIMEOUT_MS = 100;
/** Longer than the time for headers and the interval in which it is checked. */
const STALL_MS = 1500;

/** A caller in a thread of its own, which sends what it is told and tells all that it gets. */
const caller = `
const {connect} = require('node:net');
const {parentPort, workerData: {port, text}} = require('node:worker_threads');
let got = '';
const socket = connect(port, '127.0.0.1', () => socket.write(text));
socket.on('data', piece => { got += piece; }).on('error', () => {}).on('close', () => parentPort.postMessage(got));
`;

const cases: ReadonlyArray<{name: string; text: string; expected: {readonly runs: number; readonly status: string}}> = [
	{name: 'serves a request that came meanwhile', text: 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', expected: {runs: 1, status: '200'}},
	{name: 'refuses one whose headers did not come', text: 'GET / HTTP/1.1\r\nhost: a\r\n', expected: {runs: 0, status: '408'}},
];

describe('a listener whose process stood still after a connection was made', () => {
	for (const {name, text, expected} of cases) {
		it(name, async () => {
			let runs = 0;
			const listener = new CallerListener({
				counters: new ServedCounters(),
				mostCalls: 10,
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
			const [got] = await once(new Worker(caller, {eval: true, workerData: {port, text}}), 'message') as [string];
			listener.server.close();
			assert.deepEqual({runs, status: got.split(' ')[1]}, expected);
		});
	}
});
