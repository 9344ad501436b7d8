import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {Client} from 'undici';
import {Exchange} from '@pomelopick/calls.forwarding';
import {startScriptedServer} from './scripted-server.js';

const CONNECTING_MS = 100;

const cases: ReadonlyArray<{name: string; openMs: number}> = [
	{name: 'its connection is open', openMs: CONNECTING_MS},
	{name: 'the library has connected again', openMs: 0},
];

const errors: ReadonlyArray<{name: string; isOpen: boolean; open: () => Promise<Either<Error, void>>; headers: () => string[]; detail: string}> = [
	{
		name: 'its headers cannot be made on an open connection', isOpen: true, open: async () => Right(undefined), headers: failToMake, detail: 'Error: no headers',
	},
	{
		name: 'its headers cannot be made once the connection is open', isOpen: false, open: async () => Right(undefined), headers: failToMake, detail: 'Error: no headers',
	},
	{
		name: 'opening the connection throws', isOpen: false, async open() {
			throw new Error('no address');
		}, headers: () => [], detail: 'Error: no address',
	},
];

function failToMake(): never {
	throw new Error('no headers');
}

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
						openedAtMs: 0, createdAtMs: 0, lastReceivedAtMs: 0, lentAtMs: 0, isOpen: openMs === 0,
						wasUsed: false, isChecked: false, connectsByItself: true, wasReset: false,
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

	for (const {name, isOpen, open, headers, detail} of errors) {
		it(`fails as not-run, and ends no process, when ${name}`, async () => {
			const client = new Client('http://127.0.0.1:1');
			let releases = 0;
			const exchange = new Exchange({
				lease: {
					connection: {
						client, open, isOpen,
						reset() {/* The exchange does not reset it. */}, holdReading: () => undefined, releaseReading: () => undefined, onSilent: undefined,
						openedAtMs: 0, createdAtMs: 0, lastReceivedAtMs: 0, lentAtMs: 0, wasUsed: false, isChecked: false, connectsByItself: true, wasReset: false,
					}, release() {
						releases += 1;
					},
				},
				callId: 'one', method: 'GET', path: '/x', headers, body: undefined, maxBufferedBytes: 1000, now: () => 0,
			});
			exchange.send();
			const result = await exchange.result;
			assert.deepEqual(result, Left({kind: 'connect-failed', execution: 'not-run', detail}));
			assert.equal(releases, 1);
			await client.destroy();
		});
	}
});
