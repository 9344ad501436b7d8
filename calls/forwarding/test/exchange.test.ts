import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Right} from 'purify-ts';
import {Client} from 'undici';
import {Exchange} from '@pomelopick/calls.forwarding';
import {startScriptedServer} from './scripted-server.js';

const CONNECTING_MS = 100;

const cases: ReadonlyArray<{name: string; openMs: number}> = [
	{name: 'its connection is open', openMs: CONNECTING_MS},
	{name: 'the library has connected again', openMs: 0},
];

describe('an exchange', () => {
	for (const {name, openMs} of cases) {
		it(`reports not-run when it is aborted before ${name}, and sends nothing afterwards`, async () => {
			const server = await startScriptedServer();
			const client = new Client(`http://127.0.0.1:${server.endpoint.port}`, {
				connect(_options, callback) {
					setTimeout(() => {
						const socket = connect(server.endpoint.port, '127.0.0.1', () => {
							callback(null, socket);
						});
					}, CONNECTING_MS);
				},
			});
			const exchange = new Exchange({
				lease: {
					connection: {
						client, async open() {
							await sleep(openMs);
							return Right(undefined);
						},
						reset() {/* The exchange does not reset it. */}, holdReading: () => undefined, releaseReading: () => undefined, onSilent: undefined,
						createdAtMs: 0, lastReceivedAtMs: 0, lentAtMs: 0, isOpen: openMs === 0, wasUsed: false, wasReset: false, isUnframed: false,
					}, release: () => undefined,
				},
				callId: 'one', method: 'POST', path: '/x', headers: () => [], body: new TextEncoder().encode('{}'), maxBufferedBytes: 1000, now: () => 0,
			});
			exchange.send();
			exchange.abort({kind: 'timed-out', detail: 'deadline'});
			const result = await exchange.result;
			assert.equal(result.swap().map(({execution}) => execution).orDefault('unknown'), 'not-run');
			await sleep(300);
			assert.equal(server.requests.length, 0);
			await client.destroy();
			await server.stop();
		});
	}
});
