/**
 * Stand-in for a backend server of the users' platform.
 *
 * Each request determines how servers treat it: the header `x-play` lists one play for each arrival of the request,
 * counted over all servers. The last play applies to all further arrivals.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {LATE_MS, respond} from './play-answer.js';
import type {Play} from './play-answer.js';

/** Header that lists the plays of a request. */
export const PLAY_HEADER = 'x-play';
/** Header with the time for which a server works on a request before it plays it, in milliseconds; 0 by default. */
export const WORK_HEADER = 'x-work-ms';

const MILLISECONDS_PER_SECOND = 1000;

/** One execution of a request at a server. */
export interface ExecutionRecord {
	readonly requestId: string;
	readonly server: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** The only server that may run the request, as named in its header. */
	readonly expectedServer: string | undefined;
	/** Time until the deadline that the sender stated, in milliseconds. */
	readonly timeLeftMs: number;
	/** How the server treats the request. */
	readonly play: Play;
	/** Monotonic time at which the request arrived, in milliseconds. */
	readonly atMs: number;
	/** Whether the connection closed before the response was sent. */
	wasCancelled: boolean;
}

/** A request that reached a server, whether it was run or not. */
export interface ArrivalRecord {
	readonly requestId: string;
	readonly server: string;
	/** Monotonic time, in milliseconds. */
	readonly atMs: number;
	/** Time until the deadline that the sender stated, in milliseconds; undefined if it stated none. */
	readonly timeLeftMs?: number;
	/** Pause that the server asked for when it rejected this request, in milliseconds. Undefined if it asked for none. */
	pauseMs?: number;
	/** Rate limit that the response named, as text; undefined if it named none. */
	readonly rateLimit?: string;
	/** If the server was announcing that it leaves: how many times it had started to leave, including this time. Otherwise undefined. */
	readonly leaving?: number;
}

/** Records shared by the servers of a fleet. */
export interface ServerRecords {
	readonly executions: ExecutionRecord[];
	/** Number of arrivals by request id that took a play, including those with the plays `shed` and `late-shed`. */
	readonly arrivals: Map<string, number>;
	/** All arrivals in order, including requests that were rejected. */
	readonly arrivalLog: ArrivalRecord[];
}

/** Options of {@link startRegisteredServer}. */
export interface StartRegisteredServerOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly port?: number;
	/** Called after a request has crashed the server. */
	readonly onCrash?: () => void;
	/** Called when the server stops answering without closing its connections. */
	readonly onSilent?: () => void;
}

/** A running server. */
export interface RegisteredServer {
	readonly name: string;
	readonly port: number;
	/** Sets whether all further responses announce that the server leaves. */
	setLeaving(isLeaving: boolean): void;
	/** Sets the rate limit, in requests per second, that all further responses name; undefined: none. The text is sent as it is. */
	nameRateLimit(text: string | undefined): void;
	/** Rejects all requests for a time, in milliseconds, and states the remaining time in the responses. */
	requestPause(pauseMs: number): void;
	/** Sets the time for which the server says in its health responses that it warms up, in milliseconds. */
	warmUp(durationMs: number): void;
	/** Ends all that it announces, as a new start of a server does. */
	startAnew(): void;
	/** Stops answering: all connections stay open and carry nothing more. */
	fallSilent(): void;
	/** Ends as a request that crashes it does. */
	crash(): void;
	/** Resets all connections and stops listening. */
	reset(): Promise<void>;
	/** Closes all connections and stops listening. */
	stop(): Promise<void>;
}

/** Starts a server on the loopback address. It does not register itself. */
export async function startRegisteredServer({name, records, port = 0, onCrash, onSilent}: StartRegisteredServerOptions): Promise<RegisteredServer> {
	const sockets = new Set<Socket>();
	const announced: AnnouncedState = {
		isLeaving: false, leaveCount: 0, pausedUntilMs: 0, rateLimit: undefined, coldUntilMs: 0,
	};
	let isSilent = false;
	const reset = (): void => {
		for (const socket of sockets) {
			resetOrClose(socket);
		}
	};

	const fallSilent = (): void => {
		isSilent = true;
		for (const socket of sockets) {
			silence(socket);
		}

		onSilent?.();
	};

	const crash = (): void => {
		reset();
		server.close(onCrash);
	};

	const server: Server = createServer((request, response) => {
		void serve({
			name,
			records,
			announced,
			request,
			response,
			crash,
			fallSilent,
		});
	});
	server.on('connection', socket => {
		if (isSilent) {
			silence(socket);
		}

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
			announced.isLeaving = isLeaving;
			announced.leaveCount += Number(isLeaving);
		},
		nameRateLimit(text) {
			announced.rateLimit = text;
		},
		requestPause(pauseMs) {
			announced.pausedUntilMs = performance.now() + pauseMs;
		},
		warmUp(durationMs) {
			announced.coldUntilMs = performance.now() + durationMs;
		},
		startAnew() {
			Object.assign(announced, {
				isLeaving: false, pausedUntilMs: 0, rateLimit: undefined, coldUntilMs: 0,
			});
		},
		fallSilent,
		crash,
		async reset() {
			reset();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
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

/** Resets a connection. The runtime cannot reset one that is being shut down: its handle would stay open and keep the event loop busy. */
function resetOrClose(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Makes a connection carry nothing more: what is written stays in its buffer. */
function silence(socket: Socket): void {
	socket.pause();
	socket.cork();
}

/** State that a server announces in its responses. */
interface AnnouncedState {
	isLeaving: boolean;
	/** How many times the server has started to leave. */
	leaveCount: number;
	/** Monotonic time until which the server rejects requests, in milliseconds. */
	pausedUntilMs: number;
	/** Rate limit that responses name. */
	rateLimit: string | undefined;
	/** Monotonic time until which the server warms up, in milliseconds. */
	coldUntilMs: number;
}

interface ServeOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly announced: AnnouncedState;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly crash: () => void;
	readonly fallSilent: () => void;
}

async function serve({name, records, announced, request, response, crash, fallSilent}: ServeOptions): Promise<void> {
	if (announced.isLeaving) {
		response.setHeader('server-leaving', '1');
	}

	if (announced.rateLimit !== undefined) {
		response.setHeader('server-limit', announced.rateLimit);
	}

	if (request.url === '/health') {
		const warmupLeftMs = announced.coldUntilMs - performance.now();
		if (warmupLeftMs > 0) {
			response.setHeader('x-warmup-ms', String(Math.ceil(warmupLeftMs)));
		}

		response.setHeader('x-instance-id', name);
		response.end();
		return;
	}

	const body = await buffer(request);
	const requestId = String(request.headers['x-request-id']);
	const deadline = request.headers['x-deadline-ms'];
	const arrival: ArrivalRecord = {
		requestId,
		server: name,
		atMs: performance.now(),
		...(deadline !== undefined && {timeLeftMs: Number(deadline)}),
		...(announced.isLeaving && {leaving: announced.leaveCount}),
		...(announced.rateLimit !== undefined && {rateLimit: announced.rateLimit}),
	};
	records.arrivalLog.push(arrival);
	const expectedServer = request.headers['x-expect-instance'] as string | undefined;
	if (expectedServer !== undefined && expectedServer !== name) {
		response.writeHead(421, {'x-instance-id': name, 'x-request-id': requestId}).end();
		return;
	}

	const pauseMs = announced.pausedUntilMs - performance.now();
	if (pauseMs > 0) {
		arrival.pauseMs = pauseMs;
		response.writeHead(503, {'x-not-executed': '1', 'x-request-id': requestId, 'retry-after': (pauseMs / MILLISECONDS_PER_SECOND).toFixed(3)}).end();
		return;
	}

	const play = nextPlay({records, requestId, plays: String(request.headers[PLAY_HEADER] ?? 'whole')});
	if (play === 'shed' || play === 'late-shed') {
		await sleep(play === 'late-shed' ? LATE_MS : 0);
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
		play,
		atMs: arrival.atMs,
		wasCancelled: false,
	};
	records.executions.push(execution);
	response.once('close', () => {
		execution.wasCancelled = !response.writableFinished;
	});
	const workMs = Number(request.headers[WORK_HEADER] ?? 0);
	if (workMs > 0) {
		await sleep(workMs);
	}

	await respond({
		play, name, requestId, response, crash, fallSilent,
	});
}

function nextPlay({records, requestId, plays}: {readonly records: ServerRecords; readonly requestId: string; readonly plays: string}): Play {
	const playList = plays.split(',') as Play[];
	const arrival = records.arrivals.get(requestId) ?? 0;
	records.arrivals.set(requestId, arrival + 1);
	return playList[Math.min(arrival, playList.length - 1)]!;
}
