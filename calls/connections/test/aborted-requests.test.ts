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

const FREEZE_MS = 100;
const SETTLE_MS = 200;

const cases: ReadonlyArray<{name: string; isAborted: boolean; expected: readonly string[]}> = [
	{name: 'never arrives after it was aborted', isAborted: true, expected: ['/first']},
	{name: 'arrives if it was not aborted', isAborted: false, expected: ['/first', '/delayed']},
];

/** Starts a server behind a proxy that can freeze the data in transit. */
async function startServerBehindProxy() {
	const arrived: string[] = [];
	const server = createServer((request, response) => {
		arrived.push(request.url ?? '');
		response.end('whole');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const proxy = await startFaultProxy({target: {address: '127.0.0.1', port: (server.address() as AddressInfo).port}, seed: 1});
	return {
		arrived, proxy, async stop() {
			await proxy.stop();
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Sends a request; resolves with whether a complete response arrived. */
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

describe('a request that is delayed on its way to a server', () => {
	for (const {name, isAborted, expected} of cases) {
		it(name, async () => {
			const {arrived, proxy, stop} = await startServerBehindProxy();
			const connections = new BackendConnections({now: () => performance.now(), probeIntervalMs: 0, onReplaced() {/* No connection is silent in this test. */}});
			try {
				const lease = connections.acquire({server: {...proxy.endpoint, name: 'one' as BackendServerName, connections: 4}}).unsafeCoerce();
				const {client} = lease.connection;
				assert.ok(await send({client, path: '/first'}));
				proxy.set({frozen: true});
				const delayed = send({client, path: '/delayed'});
				await sleep(FREEZE_MS);
				if (isAborted) {
					lease.release({isReusable: false});
				}

				await sleep(FREEZE_MS);
				proxy.set({frozen: false});
				assert.equal(await delayed, !isAborted);
				await sleep(SETTLE_MS);
				assert.deepEqual(arrived, expected);
			} finally {
				await connections.close();
				await stop();
			}
		});
	}
});
