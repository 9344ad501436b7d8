import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {BackendConnections, checkOnConnection} from '@pomelopick/calls.connections';
import {Exchange} from '@pomelopick/calls.forwarding';
import {ConnectionCheck} from '@pomelopick/calls.relay';
import {ServedCounters} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import type {KnownServer, ViewConfirmation} from '@pomelopick/steering.servers';

const SENDS = 2;
const known = {} as unknown as KnownServer;
const current: ViewConfirmation = {ageMs: 0, currentSinceMs: Number.NEGATIVE_INFINITY};
const outdated: ViewConfirmation = {...current, ageMs: 5000};

interface Case {
	readonly name: string;
	readonly view?: ViewConfirmation;
	readonly isCold?: boolean;
	readonly hasWarmupRate?: boolean;
	readonly answer: (response: ServerResponse) => void;
	/** Whether the server closes a connection after each response. */
	readonly isClosing?: boolean;
	/** Paths that reach the server, of two requests one after the other. */
	readonly received: readonly string[];
	readonly unanswered?: number;
}

const answerWarm = (response: ServerResponse): void => {
	response.end();
};

// Guards against requests that reach a restarted server at the full rate from instances that did not notice its restart.
const cases: readonly Case[] = [
	{name: 'sends once the server has answered, and asks once on a connection', answer: answerWarm, received: ['/health', '/x', '/x']},
	{
		name: 'sends nothing to a server that turns out to be cold', answer(response) {
			response.setHeader('x-warmup-ms', '4000').end();
		}, received: ['/health', '/health'],
	},
	{
		name: 'sends nothing to a server that does not answer', answer() {/* It never answers. */}, received: ['/health', '/health'], unanswered: SENDS,
	},
	{
		name: 'connects again to a server that closes the connection after its answer', answer(response) {
			response.end();
		}, isClosing: true, received: ['/health', '/x', '/health', '/x'],
	},
	{
		name: 'asks nothing while the store confirms the view', view: current, answer: answerWarm, received: ['/x', '/x'],
	},
	{
		name: 'asks nothing for a request that took a token of a cold server', isCold: true, answer: answerWarm, received: ['/x', '/x'],
	},
	{
		name: 'asks nothing if the service has no rate for cold servers', hasWarmupRate: false, answer: answerWarm, received: ['/x', '/x'],
	},
];

describe('a check of a connection', {concurrency: true}, () => {
	for (const {name, view = outdated, isCold = false, hasWarmupRate = true, answer, isClosing = false, received: expected, unanswered: expectedUnanswered = 0} of cases) {
		it(name, async () => {
			const received: string[] = [];
			const server = createServer((request, response) => {
				received.push(request.url!);
				if (isClosing) {
					response.setHeader('connection', 'close');
				}

				if (request.url === '/health') {
					answer(response);
				} else {
					response.end('ok');
				}
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const backend = {
				name: 'a' as BackendServerName, address: '127.0.0.1', port: (server.address() as AddressInfo).port, connections: 4,
			};
			const connections = new BackendConnections({now: () => performance.now(), probeIntervalMs: 0, onReplaced: () => undefined});
			let exchange: Exchange;
			let unanswered = 0;
			const check = new ConnectionCheck({
				view: () => view,
				isCold: () => isCold,
				hasWarmupRate: () => hasWarmupRate,
				ask: checkOnConnection,
				onAnswer({head}) {
					if (head.headers['x-warmup-ms'] !== undefined) {
						exchange.abort({kind: 'cancelled', detail: 'the server warms up'});
					}
				},
				onNoAnswer() {
					unanswered += 1;
				},
				counters: new ServedCounters(),
				now: () => performance.now(),
			});
			for (let sends = 0; sends < SENDS; sends += 1) {
				const lease = connections.acquire({server: backend}).unsafeCoerce();
				exchange = new Exchange({
					lease, callId: 'one', method: 'GET', path: '/x', headers: () => [], body: undefined, maxBufferedBytes: 1000, now: () => performance.now(),
					checkConnection: ({isNew}): ReturnType<ConnectionCheck['check']> => check.check({known, connection: lease.connection, isNew}),
				});
				exchange.send();
				const result = await exchange.result;
				assert.equal(result.swap().map(({execution}) => execution).orDefault('ran'), expected.includes('/x') ? 'ran' : 'not-run');
			}

			assert.deepEqual(received, expected);
			assert.equal(unanswered, expectedUnanswered);
			await connections.close();
			server.close();
			server.closeAllConnections();
		});
	}
});
