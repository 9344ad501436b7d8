/** Guards against headers made before a connection stands when an idle connection was closed unnoticed. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {BackendServerName} from '@pomelopick/core.types';
import {BackendConnections} from '@pomelopick/calls.connections';
import {Exchange} from '@pomelopick/calls.forwarding';
import type {AttemptFailure, AttemptResponse} from '@pomelopick/calls.forwarding';

/** Time for which a connection is idle, in milliseconds. From a timer on, the library reads the end of the connection before it writes the next request. */
const IDLE_MS = 20;
const BODY = new TextEncoder().encode('{}');

const closes: ReadonlyArray<{name: string; close: (socket: Socket) => void}> = [
	{
		name: 'closed', close(socket) {
			socket.destroy();
		},
	},
	{
		name: 'reset', close(socket) {
			socket.resetAndDestroy();
		},
	},
];
const requests: ReadonlyArray<{name: string; method: string; body: () => Uint8Array | Readable | undefined}> = [
	{name: 'without a body', method: 'GET', body: () => undefined},
	{name: 'with a body', method: 'POST', body: () => BODY},
	{name: 'with a body that is passed on', method: 'POST', body: () => Readable.from([BODY])},
];

/** Starts a server, and connections to it over which requests state how often their headers were made. */
async function start() {
	const arrived: Array<{readonly made: unknown; readonly body: string}> = [];
	let latest: Socket | undefined;
	const server = createServer(async (request, response) => {
		latest = request.socket;
		const pieces: string[] = [];
		for await (const piece of request.setEncoding('utf8')) {
			pieces.push(String(piece));
		}

		arrived.push({made: request.headers['x-made'], body: pieces.join('')});
		response.end('whole');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const connections = new BackendConnections({now: () => performance.now(), probeIntervalMs: 0, onReplaced() {/* No connection is silent in this test. */}});
	const {port} = server.address() as AddressInfo;
	return {
		arrived,
		latest: () => latest!,
		async send({method, body}: Pick<typeof requests[number], 'method' | 'body'>): Promise<Either<AttemptFailure, AttemptResponse>> {
			const lease = connections.acquire({
				server: {
					address: '127.0.0.1', port, name: 'one' as BackendServerName, connections: 4,
				},
			}).unsafeCoerce();
			let made = 0;
			const exchange = new Exchange({
				lease, callId: 'one', method, path: '/x', body: body(), maxBufferedBytes: 1000, now: () => performance.now(),
				headers() {
					made += 1;
					return ['x-made', String(made)];
				},
			});
			exchange.send();
			return exchange.result;
		},
		/** Accepts no more connections. */
		stopAccepting() {
			server.close();
		},
		async stop() {
			await connections.close();
			server.closeAllConnections();
			server.close();
		},
	};
}

describe('a request on an idle connection of which it is not known yet', () => {
	for (const {name: closed, close} of closes) {
		for (const {name, method, body} of requests) {
			it(`that it was ${closed} is sent once with headers made again: ${name}`, async () => {
				const {arrived, latest, send, stop} = await start();
				try {
					await send({method: 'GET', body: () => undefined});
					await sleep(IDLE_MS);
					close(latest());
					const result = await send({method, body});
					assert.ok(result.isRight(), JSON.stringify(result));
					assert.deepEqual(arrived, [{made: '1', body: ''}, {made: '2', body: method === 'GET' ? '' : '{}'}]);
				} finally {
					await stop();
				}
			});
		}

		it(`that it was ${closed} was not run if it cannot be opened again`, async () => {
			const {arrived, latest, send, stop, stopAccepting} = await start();
			try {
				await send({method: 'GET', body: () => undefined});
				await sleep(IDLE_MS);
				close(latest());
				stopAccepting();
				const result = await send({method: 'POST', body: () => BODY});
				assert.deepEqual(result.mapLeft(({kind, execution}) => ({kind, execution})), Left({kind: 'connect-failed', execution: 'not-run'}));
				assert.equal(arrived.length, 1);
			} finally {
				await stop();
			}
		});
	}
});
