/** Listener for callers: hardened against malformed input, and stopped without breaking calls. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {PROBLEM_MEDIA_TYPE, toProblemDocument} from '@pomelopick/core.types';
import type {Refusal} from '@pomelopick/core.types';
import type {CallCounters} from '@pomelopick/core.telemetry';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import type {RefusalFormat} from '@pomelopick/calls.forwarding';

const MOST_HEADERS = 100;
const REQUEST_TIMEOUT_MS = 600_000;
const TIMEOUT_CHECK_MS = 1000;
/** Connections beyond the calls that may be in progress: idle ones and look-ups. */
const SPARE_CONNECTIONS = 2000;
/** Time in which late calls are refused before the last connections close, in milliseconds. */
const REFUSE_MS = 250;
const POLL_MS = 10;

/** What callers may send, and how long they may take. */
export interface ListenerLimits {
	/** Headers of one request, in bytes. */
	readonly headerBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time for which a connection may be idle, in milliseconds. */
	readonly idleTimeoutMs: number;
}

const defaultLimits: ListenerLimits = {headerBytes: 16_384, headersTimeoutMs: 5000, idleTimeoutMs: 10_000};
const DEFAULT_ANNOUNCE_MS = 500;

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
	readonly counters: CallCounters;
	/** Calls that may be in progress. */
	readonly mostCalls: number;
	readonly limits?: ListenerLimits;
	/** Time in which callers learn that the instance leaves while it still takes calls, in milliseconds. */
	readonly announceMs?: number;
	/** How refusals are written. */
	readonly refusalFormat?: RefusalFormat;
	/** Handles a request whose form is right. */
	readonly route: (options: {readonly request: IncomingMessage; readonly response: ServerResponse}) => Promise<void>;
}

/** Options of {@link CallerListener.stop}. */
export interface StopListenerOptions {
	/** Longest time to wait for calls in progress, in milliseconds. */
	readonly timeoutMs: number;
	readonly inProgress: () => number;
}

/** State of a listener: `announcing` still takes calls, `refusing` does not. */
export type ListenerState = 'serving' | 'announcing' | 'refusing';

/** The listener for callers. */
export class CallerListener {
	readonly server: Server;
	readonly #options: CallerListenerOptions;
	readonly #lastResponses = new WeakMap<Socket, ServerResponse>();
	/** Connections that were answered without a request; nothing that comes on them is run. */
	readonly #refused = new WeakSet<Socket>();
	/** Connections whose input is no longer read because it was malformed. */
	readonly #malformed = new WeakSet<Socket>();
	#limits: ListenerLimits;
	#state: ListenerState = 'serving';

	constructor(options: CallerListenerOptions) {
		this.#options = options;
		const limits = options.limits ?? defaultLimits;
		this.#limits = limits;
		this.server = createServer({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headersTimeoutMs,
			requestTimeout: REQUEST_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_MS,
			keepAliveTimeout: limits.idleTimeoutMs,
			insecureHTTPParser: false,
			requireHostHeader: true,
		}, (request, response) => {
			this.#onRequest({request, response});
		});
		this.server.maxHeadersCount = MOST_HEADERS;
		this.server.maxConnections = options.mostCalls + SPARE_CONNECTIONS;
		this.server.on('clientError', (error: Error & {code?: string}, socket) => {
			this.#onMalformed({error, socket: socket as Socket});
		});
		this.server.on('drop', () => {
			options.counters.add('callers.connection-dropped');
		});
		this.server.on('upgrade', (_request, socket) => {
			this.#refuseRaw({socket: socket as Socket, refusal: {reason: 'bad-request', execution: 'not-run', detail: 'upgrades are not supported'}});
		});
		this.server.on('connect', (_request, socket) => {
			this.#refuseRaw({socket: socket as Socket, refusal: {reason: 'bad-request', execution: 'not-run', detail: 'CONNECT is not supported'}});
		});
	}

	/** Whether callers should be led elsewhere. */
	get isStopping(): boolean {
		return this.#state !== 'serving';
	}

	/** Whether new calls are refused. */
	get isRefusing(): boolean {
		return this.#state === 'refusing';
	}

	/** Takes changed times; the size of headers stays as it was at the start. */
	useTimes({headersTimeoutMs, idleTimeoutMs}: Omit<ListenerLimits, 'headerBytes'>): void {
		this.#limits = {...this.#limits, headersTimeoutMs, idleTimeoutMs};
		this.server.headersTimeout = headersTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Leads callers elsewhere, finishes the calls in progress and closes. */
	async stop({timeoutMs, inProgress}: StopListenerOptions): Promise<void> {
		const endsAtMs = Date.now() + timeoutMs;
		this.#state = 'announcing';
		await sleep(Math.min(this.#options.announceMs ?? DEFAULT_ANNOUNCE_MS, timeoutMs));
		this.#state = 'refusing';
		await sleep(Math.min(REFUSE_MS, Math.max(0, endsAtMs - Date.now())));
		while (inProgress() > 0 && Date.now() < endsAtMs) {
			await sleep(POLL_MS);
		}

		await this.#close(Math.max(Date.now() + REFUSE_MS, endsAtMs));
	}

	/** Closes each connection when it becomes idle, and what remains at the end. */
	async #close(endsAtMs: number): Promise<void> {
		const timer = setInterval(() => {
			if (Date.now() >= endsAtMs) {
				this.server.closeAllConnections();
			} else {
				this.server.closeIdleConnections();
			}
		}, POLL_MS);
		await new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
		});
		clearInterval(timer);
	}

	#onRequest({request, response}: {readonly request: IncomingMessage; readonly response: ServerResponse}): void {
		if (this.#refused.has(request.socket)) {
			// Its caller was told already that nothing was run.
			request.socket.destroy();
			return;
		}

		this.#lastResponses.set(request.socket, response);
		if (this.isStopping) {
			response.setHeader('connection', 'close');
		}

		if (request.httpVersion !== '1.1') {
			// The end of a chunked answer cannot be told from a cut in HTTP/1.0.
			const refusal: Refusal = {reason: 'bad-request', execution: 'not-run', detail: `expected HTTP/1.1, found HTTP/${request.httpVersion}`};
			this.#options.counters.refused(refusal.reason);
			sendRefusal({
				response, id: randomUUID(), refusal, format: this.#options.refusalFormat,
			});
			return;
		}

		void this.#options.route({request, response});
	}

	#onMalformed({error, socket}: {readonly error: Error & {code?: string}; readonly socket: Socket}): void {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const lastResponse = this.#lastResponses.get(socket);
		if (lastResponse?.writableFinished === false) {
			this.#endInput({error, socket, lastResponse});
			return;
		}

		const refusal = toMalformedRefusal({error, limits: this.#limits});
		if (refusal.reason !== 'headers-too-slow') {
			this.#refuseRaw({socket, refusal});
			return;
		}

		// After a standstill the time is over before what came meanwhile has been read; it is read before the next check phase.
		setImmediate(() => {
			if (this.#lastResponses.get(socket) === lastResponse && socket.writable) {
				this.#refuseRaw({socket, refusal});
			}
		});
	}

	/** Takes no more input of a connection with a call in progress; nothing may be written between parts of its answer. */
	#endInput({error, socket, lastResponse}: {readonly error: Error & {code?: string}; readonly socket: Socket; readonly lastResponse: ServerResponse}): void {
		if (this.#malformed.has(socket)) {
			return;
		}

		this.#malformed.add(socket);
		const refusal = toMalformedRefusal({error, limits: this.#limits});
		this.#options.counters.refused(refusal.reason);
		if (lastResponse.req.complete) {
			// What follows a whole call is malformed: the call is answered, then the connection ends.
			socket.pause();
			if (!lastResponse.headersSent) {
				lastResponse.setHeader('connection', 'close');
			}
		} else {
			// A body that is passed on as it arrives may have reached a backend server.
			sendRefusal({
				response: lastResponse, id: randomUUID(), refusal: {...refusal, execution: 'unknown'}, format: this.#options.refusalFormat,
			});
		}
	}

	/** Answers on a connection that has no request, then closes it. */
	#refuseRaw({socket, refusal}: {readonly socket: Socket; readonly refusal: Refusal}): void {
		this.#refused.add(socket);
		this.#options.counters.refused(refusal.reason);
		const document = toProblemDocument({refusal, callId: randomUUID()});
		const body = JSON.stringify(document);
		const head = [
			`HTTP/1.1 ${document.status} ${STATUS_CODES[document.status] ?? ''}`,
			`content-type: ${PROBLEM_MEDIA_TYPE}`,
			`content-length: ${Buffer.byteLength(body)}`,
			'connection: close',
		];
		socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
		socket.setTimeout(REFUSE_MS, () => {
			socket.destroy();
		});
	}
}

function toMalformedRefusal({error: {code, message}, limits}: {readonly error: Error & {code?: string}; readonly limits: ListenerLimits}): Refusal {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return {reason: 'headers-too-large', execution: 'not-run', detail: `headers: expected at most ${limits.headerBytes} bytes`};
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {reason: 'headers-too-slow', execution: 'not-run', detail: `the request did not arrive within ${limits.headersTimeoutMs} ms`};
		}

		default: {
			return {reason: 'bad-request', execution: 'not-run', detail: `malformed HTTP: ${message}`};
		}
	}
}
