import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Client} from 'undici';
import {BackendConnections} from '@pomelopick/calls.connections';
import type {BackendServerName} from '@pomelopick/core.types';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';

const HELD_MS = 100;
const SETTLE_MS = 200;

const cases: ReadonlyArray<{name: string; isGivenUp: boolean; expected: readonly string[]}> = [
	{name: 'never arrives once it was given up', isGivenUp: true, expected: ['/first']},
	{name: 'arrives when it was not given up', isGivenUp: false, expected: ['/first', '/held']},
];

/** A server behind a path whose data can be held back. */
async function startHeldServer() {
	const arrived: string[] = [];
	const server = createServer((request, response) => {
		arrived.push(request.url ?? '');
		response.end('whole');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const path = await startFaultProxy({target: {address: '127.0.0.1', port: (server.address() as AddressInfo).port}, seed: 1});
	return {
		arrived, path, async stop() {
			await path.stop();
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Sends a request; resolves with whether it was answered. */
async function send({client, path}: {readonly client: Client; readonly path: string}): Promise<boolean> {
	return new Promise(resolve => {
		client.dispatch({method: 'GET', path}, {
			onRequestStart() {/* Only the end matters. */},
			onResponseStart() {/* Only the end matters. */},
			onResponseData() {/* Only the end matters. */},
			onResponseEnd() {
				resolve(true);
			},
			onResponseError() {
				resolve(false);
			},
		});
	});
}

describe('a request that is held up on its way to a server', () => {
	for (const {name, isGivenUp, expected} of cases) {
		it(name, async () => {
			const {arrived, path, stop} = await startHeldServer();
			const connections = new BackendConnections({now: () => performance.now(), probeIntervalMs: 0, onReplaced() {/* None is silent here. */}});
			try {
				const lease = connections.acquire({server: {...path.endpoint, name: 'one' as BackendServerName, connections: 4}}).unsafeCoerce();
				const {client} = lease.connection;
				assert.ok(await send({client, path: '/first'}));
				path.set({frozen: true});
				const held = send({client, path: '/held'});
				await sleep(HELD_MS);
				if (isGivenUp) {
					lease.release({isReusable: false});
				}

				await sleep(HELD_MS);
				path.set({frozen: false});
				assert.equal(await held, !isGivenUp);
				await sleep(SETTLE_MS);
				assert.deepEqual(arrived, expected);
			} finally {
				await connections.close();
				await stop();
			}
		});
	}
});
