/** A TCP server that responds to HTTP requests with scripted bytes, complete or truncated. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Endpoint} from '@pomelopick/core.types';

/** Input of a script, for each request that arrives. */
export interface ScriptedRequest {
	readonly socket: Socket;
	/** Head and body, as received. */
	readonly text: string;
	readonly callId: string;
	/** Number of the connection, from 1. */
	readonly connection: number;
	/** Number of the request, from 1. */
	readonly request: number;
}

/** A running server. */
export interface ScriptedServer {
	readonly endpoint: Endpoint;
	/** Called for each request; tests replace it. */
	script: (request: ScriptedRequest) => void;
	readonly requests: ScriptedRequest[];
	readonly closedConnections: number[];
	stop(): Promise<void>;
}

/** Builds a complete response that returns the call's identifier. */
export function completeResponse({callId, body = 'whole'}: {readonly callId: string; readonly body?: string}): string {
	return `HTTP/1.1 200 OK\r\nx-call-id: ${callId}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Starts a server on the loopback address. */
export async function startScriptedServer(): Promise<ScriptedServer> {
	const sockets = new Set<Socket>();
	let connections = 0;
	const server = createServer({allowHalfOpen: false}, socket => {
		connections += 1;
		const connection = connections;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
			scripted.closedConnections.push(connection);
		});
		socket.on('data', (piece: Uint8Array) => {
			const text = new TextDecoder().decode(piece);
			const callId = /x-call-id: (\S+)/u.exec(text)?.[1] ?? '';
			if (text.startsWith('GET /health')) {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
				return;
			}

			const request: ScriptedRequest = {
				socket, text, callId, connection, request: scripted.requests.length + 1,
			};
			scripted.requests.push(request);
			scripted.script(request);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const scripted: ScriptedServer = {
		endpoint: {address: '127.0.0.1', port: (server.address() as AddressInfo).port},
		script({socket, callId}) {
			socket.write(completeResponse({callId}));
		},
		requests: [],
		closedConnections: [],
		async stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
	return scripted;
}
