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
import {setTimeout as sleep} from 'node:timers/promises';

/** How an arrival is played. */
export type Play =
	| 'whole'
	| 'slow'
	| 'shed'
	| 'cut'
	| 'reset'
	| 'late-reset'
	| 'silent'
	| 'unframed'
	| 'unframed-reset'
	| 'extra'
	| 'unstamped'
	| 'other-id'
	| 'failure'
	| 'crash'
	| 'refuse-unstamped';

/** Header that says how the arrivals of a request are played. */
export const PLAY_HEADER = 'x-play';

/** Times after which the plays `slow` and `late-reset` end, in milliseconds. */
export const SLOW_MS = 400;
const LATE_RESET_MS = 1200;
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
export async function startRegisteredServer({name, records, port = 0}: StartRegisteredServerOptions): Promise<RegisteredServer> {
	const sockets = new Set<Socket>();
	const notice: ServerNotice = {isLeaving: false, leavings: 0, pausedUntilMs: 0};
	const server: Server = createServer((request, response) => {
		void serve({
			name, records, notice, request, response, crash() {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}

				server.close();
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
		wasCancelled: false,
	};
	records.executions.push(execution);
	response.once('close', () => {
		execution.wasCancelled = !response.writableFinished;
	});
	await answer({
		play, name, requestId, response, crash,
	});
}

function nextPlay({records, requestId, plays}: {readonly records: ServerRecords; readonly requestId: string; readonly plays: string}): Play {
	const list = plays.split(',') as Play[];
	const arrival = records.arrivals.get(requestId) ?? 0;
	records.arrivals.set(requestId, arrival + 1);
	return list[Math.min(arrival, list.length - 1)]!;
}

interface AnswerOptions {
	/** Not `shed`, which runs nothing. */
	readonly play: Play;
	readonly name: string;
	readonly requestId: string;
	readonly response: ServerResponse;
	readonly crash: () => void;
}

async function answer({play, name, requestId, response, crash}: AnswerOptions): Promise<void> {
	const text = JSON.stringify({requestId, server: name});
	const headers = {
		'content-length': String(text.length), 'x-request-id': requestId, 'x-server-stamp': `${name}.${requestId}`, 'x-server-load': '1,0,4',
	};
	const raw = (lines: readonly string[]): string => `${lines.join('\r\n')}\r\n\r\n`;
	const socket = response.socket!;
	switch (play) {
		case 'slow': {
			await sleep(SLOW_MS);
			response.writeHead(200, headers).end(text);
			break;
		}

		case 'cut': {
			response.writeHead(200, headers).write(text.slice(0, 5));
			setTimeout(() => socket.destroy(), 10);
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'late-reset': {
			await sleep(LATE_RESET_MS);
			socket.resetAndDestroy();
			break;
		}

		case 'silent': {
			// No answer comes.
			break;
		}

		case 'unframed':
		case 'unframed-reset': {
			socket.write(`${raw(['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, `x-server-stamp: ${name}.${requestId}`, 'connection: close'])}${text}`, () => {
				if (play === 'unframed') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			});
			break;
		}

		case 'extra': {
			response.writeHead(200, headers).end(text);
			socket.write(raw(['HTTP/1.1 200 OK', 'x-request-id: somebody-else', 'x-server-stamp: other', 'content-length: 0']));
			break;
		}

		case 'unstamped': {
			response.writeHead(200, {'content-length': headers['content-length'], 'x-request-id': requestId}).end(text);
			break;
		}

		case 'other-id': {
			response.writeHead(200, {...headers, 'x-request-id': 'somebody-else'}).end(text);
			break;
		}

		case 'failure': {
			response.writeHead(500, headers).end(text);
			break;
		}

		case 'refuse-unstamped': {
			response.writeHead(503, {'content-length': '0', 'x-request-id': requestId}).end();
			break;
		}

		case 'crash': {
			crash();
			break;
		}

		case 'shed':
		case 'whole': {
			response.writeHead(200, headers).end(text);
			break;
		}
	}
}
