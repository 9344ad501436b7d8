/**
 * How a stand-in for a backend server serves one request.
 *
 * Each request determines how servers treat it: the header `x-play` lists one play for each arrival of the request,
 * counted over all servers. The last play applies to all further arrivals.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatLoad, LATE_MS, respond} from './play-answer.js';
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
	/** Organisation of the caller, as the request states it; undefined if it states none. */
	readonly organisation?: string | undefined;
	/** Credentials that the server received; no server may receive any where callers are authenticated. */
	readonly credentials?: string | undefined;
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

/** State that a server announces in its responses. */
export interface AnnouncedState {
	isLeaving: boolean;
	/** How many times the server has started to leave. */
	leaveCount: number;
	/** Monotonic time until which the server rejects requests, in milliseconds. */
	pausedUntilMs: number;
	/** Rate limit that responses name. */
	rateLimit: string | undefined;
	/** Monotonic time until which the server warms up, in milliseconds. */
	coldUntilMs: number;
	/** Fourth value of the load header, as text; undefined: responses carry a load of three values and health responses carry none. */
	workTime: string | undefined;
}

/** Options of {@link serve}. */
export interface ServeOptions {
	readonly name: string;
	readonly records: ServerRecords;
	readonly announced: AnnouncedState;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly crash: () => void;
	readonly fallSilent: () => void;
}

/** Serves one request as its play says, and records it. */
export async function serve({name, records, announced, request, response, crash, fallSilent}: ServeOptions): Promise<void> {
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

		if (announced.workTime !== undefined) {
			response.setHeader('x-server-load', formatLoad({running: 0, workTime: announced.workTime}));
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
		organisation: joinHeaders({request, name: 'x-tenant'}),
		credentials: joinHeaders({request, name: 'authorization'}),
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
		workTime: announced.workTime, play, name, requestId, response, crash, fallSilent,
	});
}

/** All values of a header, joined. `headersDistinct` throws at names of inherited properties in some releases of Node.js 20, such as 20.19.0. */
function joinHeaders({request: {rawHeaders}, name}: {readonly request: IncomingMessage; readonly name: string}): string | undefined {
	const values = rawHeaders.filter((_, position) => position % 2 === 1 && rawHeaders[position - 1]!.toLowerCase() === name);
	return values.length > 0 ? values.join(', ') : undefined;
}

function nextPlay({records, requestId, plays}: {readonly records: ServerRecords; readonly requestId: string; readonly plays: string}): Play {
	const playList = plays.split(',') as Play[];
	const arrival = records.arrivals.get(requestId) ?? 0;
	records.arrivals.set(requestId, arrival + 1);
	return playList[Math.min(arrival, playList.length - 1)]!;
}
