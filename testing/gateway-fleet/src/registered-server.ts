/**
 * Stand-in for a backend server of the users' platform.
 *
 * A request says itself how each of its arrivals is to be played: the header `x-play` lists one play an arrival, at
 * whichever server it comes; the last one holds for all further arrivals.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {buffer} from 'node:stream/consumers';
import {playAnswer} from './play-answer.js';
import type {Play} from './play-answer.js';

/** Header that says how the arrivals of a request are played. */
export const PLAY_HEADER = 'x-play';

const MILLISECONDS_PER_SECOND = 1000;

/** One run of a request at a server. */
export interface ExecutionRecord {
	readonly requestId: string;
	readonly server: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Header that names the server that alone may run the request. */
	readonly expectedServer: string | undefined;
	/** Time that the sender said it would wait, in milliseconds. */
	readonly timeLeftMs: number;
	/** Monotonic time of its beginning, in milliseconds. */
	readonly atMs: number;
	/** Whether the connection closed before the answer was sent. */
	wasCancelled: boolean;
}

/** A request that reached a server, whether it was run or not. */
export interface ArrivalRecord {
	readonly requestId: string;
	readonly server: string;
	/** Monotonic time, in milliseconds. */
	readonly atMs: number;
	/** Time for which the server said that it wants nothing when it turned this request away, in milliseconds; undefined: it did not. */
	pauseMs?: number;
	/** How often the server had begun to leave, this time included, while it said that it leaves; undefined: it did not say so. */
	readonly leaving?: number;
}

/** What the servers of a fleet share. */
export interface ServerRecords {
	readonly executions: ExecutionRecord[];
	/** Arrivals of each request, those that were not run included. */
	readonly arrivals: Map<string, number>;
	/** Every arrival in its order. */
	readonly arrivalLog: ArrivalRecord[];
}

/** Options of {@link startRegisteredServer}. */
export interface StartRegisteredServerOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly port?: number;
	/** Called when a request took the server down. */
	readonly onCrash?: () => void;
}

/** A running server. */
export interface RegisteredServer {
	readonly name: string;
	readonly port: number;
	/** Says in all further answers that the server leaves, or no longer. */
	setLeaving(isLeaving: boolean): void;
	/** Turns all requests away for a time, in milliseconds, and says so. */
	askPause(pauseMs: number): void;
	/** Takes all connections down and listens no more. */
	stop(): Promise<void>;
}

/** Starts a server on loopback; it registers nothing by itself. */
export async function startRegisteredServer({name, records, port = 0, onCrash}: StartRegisteredServerOptions): Promise<RegisteredServer> {
	const sockets = new Set<Socket>();
	const notice: ServerNotice = {isLeaving: false, leavings: 0, pausedUntilMs: 0};
	const server: Server = createServer((request, response) => {
		void serve({
			name, records, notice, request, response, crash() {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}

				server.close(onCrash);
			},
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		name,
		port: (server.address() as AddressInfo).port,
		setLeaving(isLeaving) {
			notice.isLeaving = isLeaving;
			notice.leavings += Number(isLeaving);
		},
		askPause(pauseMs) {
			notice.pausedUntilMs = performance.now() + pauseMs;
		},
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

/** What a server says of itself. */
interface ServerNotice {
	isLeaving: boolean;
	/** How often it began to leave. */
	leavings: number;
	/** Monotonic time until which it turns requests away, in milliseconds. */
	pausedUntilMs: number;
}

interface ServeOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly notice: ServerNotice;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly crash: () => void;
}

async function serve({name, records, notice, request, response, crash}: ServeOptions): Promise<void> {
	if (notice.isLeaving) {
		response.setHeader('server-leaving', '1');
	}

	if (request.url === '/health') {
		response.setHeader('x-instance-id', name);
		response.end();
		return;
	}

	const body = await buffer(request);
	const requestId = String(request.headers['x-request-id']);
	const arrival: ArrivalRecord = {
		requestId, server: name, atMs: performance.now(), ...(notice.isLeaving && {leaving: notice.leavings}),
	};
	records.arrivalLog.push(arrival);
	const expectedServer = request.headers['x-expect-instance'] as string | undefined;
	if (expectedServer !== undefined && expectedServer !== name) {
		response.writeHead(421, {'x-instance-id': name, 'x-request-id': requestId}).end();
		return;
	}

	const pauseMs = notice.pausedUntilMs - performance.now();
	if (pauseMs > 0) {
		arrival.pauseMs = pauseMs;
		response.writeHead(503, {'x-not-executed': '1', 'x-request-id': requestId, 'retry-after': (pauseMs / MILLISECONDS_PER_SECOND).toFixed(3)}).end();
		return;
	}

	const play = nextPlay({records, requestId, plays: String(request.headers[PLAY_HEADER] ?? 'whole')});
	if (play === 'shed') {
		response.writeHead(503, {'x-not-executed': '1', 'x-request-id': requestId}).end();
		return;
	}

	const execution: ExecutionRecord = {
		requestId,
		server: name,
		method: request.method ?? '',
		path: request.url ?? '',
		body: body.toString('utf8'),
		expectedServer,
		timeLeftMs: Number(request.headers['x-deadline-ms']),
		atMs: arrival.atMs,
		wasCancelled: false,
	};
	records.executions.push(execution);
	response.once('close', () => {
		execution.wasCancelled = !response.writableFinished;
	});
	await playAnswer({
		play, name, requestId, response, crash,
	});
}

function nextPlay({records, requestId, plays}: {readonly records: ServerRecords; readonly requestId: string; readonly plays: string}): Play {
	const list = plays.split(',') as Play[];
	const arrival = records.arrivals.get(requestId) ?? 0;
	records.arrivals.set(requestId, arrival + 1);
	return list[Math.min(arrival, list.length - 1)]!;
}
