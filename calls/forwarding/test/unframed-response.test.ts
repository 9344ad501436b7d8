import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {BackendConnections} from '@pomelopick/calls.connections';
import type {ConnectedServer} from '@pomelopick/calls.connections';
import {Exchange} from '@pomelopick/calls.forwarding';
import type {BackendServerName} from '@pomelopick/core.types';
import {startScriptedServer} from './scripted-server.js';

const PAUSE_MS = 30;
const head = (callId: string): string => `HTTP/1.1 200 OK\r\nx-call-id: ${callId}\r\n\r\n`;
const codedHead = (callId: string): string => `HTTP/1.1 200 OK\r\nx-call-id: ${callId}\r\ntransfer-encoding: gzip\r\n\r\n`;
const closingHead = (callId: string): string => `HTTP/1.1 200 OK\r\nx-call-id: ${callId}\r\nconnection: close\r\n\r\n`;

interface Case {
	readonly name: string;
	readonly respond: (options: {readonly socket: Socket; readonly callId: string}) => void;
	readonly expected: string;
}

const cases: readonly Case[] = [
	{
		name: 'ends with its connection', expected: 'whole: part of it', respond({socket, callId}) {
			socket.end(`${head(callId)}part of it`);
		},
	},
	{
		name: 'ends with its connection, later', expected: 'whole: part of it', respond({socket, callId}) {
			socket.write(`${head(callId)}part of it`);
			setTimeout(() => socket.end(), PAUSE_MS);
		},
	},
	{
		name: 'is reset at once', expected: 'truncated', respond({socket, callId}) {
			socket.write(`${head(callId)}part of it`, () => socket.resetAndDestroy());
		},
	},
	{
		name: 'is reset later', expected: 'truncated', respond({socket, callId}) {
			socket.write(`${head(callId)}part of it`);
			setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
		},
	},
	{
		name: 'announces that the connection closes and is reset later', expected: 'truncated', respond({socket, callId}) {
			socket.write(`${closingHead(callId)}part of it`);
			setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
		},
	},
	{
		name: 'has a transfer coding other than chunks and ends with its connection', expected: 'whole: part of it', respond({socket, callId}) {
			socket.end(`${codedHead(callId)}part of it`);
		},
	},
	{
		name: 'has a transfer coding other than chunks and is reset later', expected: 'truncated', respond({socket, callId}) {
			socket.write(`${codedHead(callId)}part of it`);
			setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
		},
	},
	{
		name: 'is reset after its head', expected: 'truncated', respond({socket, callId}) {
			socket.write(head(callId));
			setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
		},
	},
];

async function exchangeOnce({connections, backendServer, callId}: {readonly connections: BackendConnections; readonly backendServer: ConnectedServer; readonly callId: string}): Promise<string> {
	const exchange = new Exchange({
		lease: connections.acquire({server: backendServer}).unsafeCoerce(),
		callId,
		acceptsUnframed: true,
		method: 'GET',
		path: '/x',
		headers: () => ['x-call-id', callId],
		body: undefined,
		maxBufferedBytes: 1000,
		now: () => performance.now(),
	});
	exchange.send();
	const result = await exchange.result;
	return result.caseOf({
		Left: ({kind}) => kind, Right: found => found.kind === 'whole' ? `whole: ${new TextDecoder().decode(found.body)}` : found.kind,
	});
}

describe('a response with neither a content length nor chunks', () => {
	for (const {name, respond, expected} of cases) {
		it(`that ${name} is ${expected}`, async () => {
			const server = await startScriptedServer();
			server.script = respond;
			const connections = new BackendConnections({now: () => performance.now(), onReplaced: () => undefined, probeIntervalMs: 0});
			const backendServer = {name: 'one' as BackendServerName, ...server.endpoint, connections: 8};
			try {
				// The second response arrives on a different connection.
				for (const callId of ['first', 'second']) {
					assert.equal(await exchangeOnce({connections, backendServer, callId}), expected);
				}
			} finally {
				await connections.close();
				await server.stop();
			}
		});
	}
});
