/** Stand-in for a faulty backend server, which decides byte by byte what it writes on its connections. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {WORK_HEADER} from './serve-request.js';

const HEAD_END = '\r\n\r\n';
const TIME_LEFT_HEADER = 'x-deadline-ms';

/** A request that a raw server has read. */
export interface RawRequest {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly socket: Socket;
	/** Time for which the caller asks servers to work on the request, in milliseconds. */
	readonly workMs: number;
	/** Time until the deadline that the sender stated, in milliseconds. */
	readonly timeLeftMs: number;
	/** Number of the request on its connection, from 0. */
	readonly index: number;
}

/** Options of {@link startRawServer}. */
export interface StartRawServerOptions {
	readonly name: string;
	/** Handles a request other than a health check. */
	readonly onRequest: (request: RawRequest) => void;
	/** Whether requests are handled once their head has arrived; the body is then left on the socket, which is paused. By default they are read whole. */
	readonly leavesBodies?: boolean;
	/** Bytes of the responses to health checks, or a function that returns them for each. By default a success with the name of the server. */
	readonly healthResponse?: string | (() => string | undefined);
}

/** A running server. */
export interface RawServer {
	readonly name: string;
	readonly port: number;
	stop(): Promise<void>;
}

/** Starts a server on the loopback address, which responds to health checks and passes everything else on. */
export async function startRawServer({name, onRequest, leavesBodies, healthResponse}: StartRawServerOptions): Promise<RawServer> {
	const sockets = new Set<Socket>();
	const server = createServer({noDelay: true, allowHalfOpen: leavesBodies}, socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', () => {/* The other side may reset the connection. */});
		readRequests({
			name, socket, onRequest, leavesBodies, healthResponse,
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		name,
		port: (server.address() as AddressInfo).port,
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				for (const socket of sockets) {
					socket.destroy();
				}
			});
		},
	};
}

/** Options of {@link rawResponse}. */
export interface RawResponseOptions {
	readonly status: string;
	readonly headers?: readonly string[];
	readonly body?: string;
}

/** Returns the bytes of a response with a content length. */
export function rawResponse({status, headers = [], body = ''}: RawResponseOptions): string {
	return `${[`HTTP/1.1 ${status}`, ...headers, `content-length: ${Buffer.byteLength(body)}`].join('\r\n')}${HEAD_END}${body}`;
}

function findHeader({head, name}: {readonly head: string; readonly name: string}): string | undefined {
	return new RegExp(`^${name}: (.*)$`, 'imu').exec(head)?.[1];
}

function readRequests({name, socket, onRequest, leavesBodies = false, healthResponse = rawResponse({status: '200 OK', headers: [`x-instance-id: ${name}`]})}: StartRawServerOptions & {readonly socket: Socket}): void {
	let received = '';
	let index = 0;
	socket.setEncoding('latin1');
	socket.on('data', (piece: string) => {
		received += piece;
		for (;;) {
			const headEnd = received.indexOf(HEAD_END);
			const head = received.slice(0, headEnd);
			const end = headEnd + HEAD_END.length + (leavesBodies ? 0 : Number(findHeader({head, name: 'content-length'}) ?? 0));
			if (headEnd === -1 || received.length < end) {
				return;
			}

			received = received.slice(end);
			const [method, path] = head.split(' ');
			if (leavesBodies && path !== '/health') {
				socket.pause();
			}

			if (path === '/health') {
				socket.write((typeof healthResponse === 'string' ? healthResponse : healthResponse()) ?? '');
			} else {
				onRequest({
					requestId: findHeader({head, name: 'x-request-id'}) ?? '',
					method: method!,
					path: path!,
					socket,
					workMs: Number(findHeader({head, name: WORK_HEADER}) ?? 0),
					timeLeftMs: Number(findHeader({head, name: TIME_LEFT_HEADER})),
					index,
				});
				index += 1;
			}
		}
	});
}
