/** HTTP listener for callers: rejects malformed input and shuts down gracefully. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, STATUS_CODES} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {PROBLEM_MEDIA_TYPE, toProblemDocument} from '@pomelopick/core.types';
import type {Refusal} from '@pomelopick/core.types';
import type {CallCounters} from '@pomelopick/core.telemetry';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import type {RefusalFormat} from '@pomelopick/calls.forwarding';
import {CallerConnections} from './caller-connections.js';
import {countHosts, HeaderCount} from './header-count.js';
import {toRefusal} from './input-refusals.js';
import type {ListenerLimits} from './input-refusals.js';
import {LineFeedGuard} from './line-feed-guard.js';

const REQUEST_TIMEOUT_MS = 600_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
/** Connections allowed in addition to the maximum number of calls, for idle connections and look-ups. */
const MAX_CONNECTIONS_WITHOUT_CALL = 2000;
/** Minimum time for which new calls are refused before connections are closed, in milliseconds. Also limits how long a refused connection stays open. */
const REFUSING_PERIOD_MS = 250;
const POLL_INTERVAL_MS = 10;

const defaultLimits: ListenerLimits = {headerBytes: 16_384, headersTimeoutMs: 5000, idleTimeoutMs: 10_000};
const DEFAULT_ANNOUNCING_PERIOD_MS = 500;

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
	readonly counters: CallCounters;
	/** Maximum calls in progress. */
	readonly maxCalls: number;
	readonly limits?: ListenerLimits;
	/** Whether heads with bare line feeds are rejected; the runtime's parser takes some of them. Input is then read more slowly. */
	readonly rejectsBareLineFeeds?: boolean;
	/** Time for which the instance announces its shutdown to callers while it still accepts calls, in milliseconds. */
	readonly announceMs?: number;
	/** Format of refusals. */
	readonly refusalFormat?: RefusalFormat;
	/** Handles a well-formed request; `hasRequestsBehind` returns whether further ones have arrived behind it on its connection. */
	readonly route: (options: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly hasRequestsBehind: () => boolean}) => Promise<void>;
}

/** Options of {@link CallerListener.stop}. */
export interface StopListenerOptions {
	/** Maximum time to wait for calls in progress, in milliseconds. */
	readonly timeoutMs: number;
	readonly inProgress: () => number;
}

/** State of a listener: `announcing` (shutting down) still accepts calls, `refusing` does not. */
export type ListenerState = 'serving' | 'announcing' | 'refusing';

/** Listener for callers. */
export class CallerListener {
	readonly server: Server;
	readonly #options: CallerListenerOptions;
	readonly #connections: CallerConnections;
	readonly #headerCount: HeaderCount;
	readonly #lineFeedGuard: LineFeedGuard | undefined;
	/** Connections that were refused without a parsed request; later requests on them are not run. */
	readonly #refusedConnections = new WeakSet<Socket>();
	/** Connections from which nothing more is read because their input was malformed. */
	readonly #malformedConnections = new WeakSet<Socket>();
	#limits: ListenerLimits;
	#state: ListenerState = 'serving';

	constructor(options: CallerListenerOptions) {
		this.#options = options;
		this.#connections = new CallerConnections({counters: options.counters});
		const limits = options.limits ?? defaultLimits;
		this.#limits = limits;
		this.#headerCount = new HeaderCount({headBytes: limits.headerBytes});
		this.#lineFeedGuard = options.rejectsBareLineFeeds ? new LineFeedGuard() : undefined;
		this.server = createServer({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headersTimeoutMs,
			requestTimeout: REQUEST_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
			keepAliveTimeout: limits.idleTimeoutMs,
			insecureHTTPParser: false,
			requireHostHeader: true,
		}, (request, response) => {
			this.#handleRequest({request, response});
		});
		this.#headerCount.applyTo(this.server);
		this.server.maxConnections = options.maxCalls + MAX_CONNECTIONS_WITHOUT_CALL;
		this.server.on('connection', socket => {
			this.#connections.add(socket);
			this.#lineFeedGuard?.watch(socket);
		});
		this.server.on('clientError', (error: Error & {code?: string}, socket) => {
			this.#handleClientError({error, socket: socket as Socket});
		});
		this.server.on('drop', () => {
			options.counters.add('callers.connection-dropped');
		});
		this.server.on('connect', (_request, socket) => {
			this.#handleConnect(socket as Socket);
		});
	}

	/** Whether the listener is shutting down and callers should connect to another instance. */
	get isStopping(): boolean {
		return this.#state !== 'serving';
	}

	/** Whether new calls are refused. */
	get isRefusing(): boolean {
		return this.#state === 'refusing';
	}

	/** Applies changed timeouts. The maximum size of headers can only be set at creation. */
	setTimeouts({headersTimeoutMs, idleTimeoutMs}: Omit<ListenerLimits, 'headerBytes'>): void {
		this.#limits = {...this.#limits, headersTimeoutMs, idleTimeoutMs};
		this.server.headersTimeout = headersTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Shuts down: announces it to callers, then refuses new calls, waits for the calls in progress and closes all connections. */
	async stop({timeoutMs, inProgress}: StopListenerOptions): Promise<void> {
		const endsAtMs = performance.now() + timeoutMs;
		this.#state = 'announcing';
		this.#connections.closeAfterResponses();
		await sleep(Math.min(this.#options.announceMs ?? DEFAULT_ANNOUNCING_PERIOD_MS, timeoutMs));
		this.#state = 'refusing';
		await sleep(Math.min(REFUSING_PERIOD_MS, Math.max(0, endsAtMs - performance.now())));
		while (inProgress() > 0 && performance.now() < endsAtMs) {
			await sleep(POLL_INTERVAL_MS);
		}

		await this.#close(Math.max(performance.now() + REFUSING_PERIOD_MS, endsAtMs));
	}

	/**
	 * Closes idle connections once all responses are sent, and the remaining connections at the given monotonic time, in milliseconds.
	 *
	 * The runtime also takes a connection for idle whose last response was written but not sent yet, so none are closed before.
	 */
	async #close(endsAtMs: number): Promise<void> {
		while (!this.#connections.areAllSent && performance.now() < endsAtMs) {
			await sleep(POLL_INTERVAL_MS);
		}

		const timer = setInterval(() => {
			if (performance.now() >= endsAtMs) {
				this.server.closeAllConnections();
			} else if (this.#connections.areAllSent) {
				this.server.closeIdleConnections();
			}
		}, POLL_INTERVAL_MS);
		await new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
		});
		clearInterval(timer);
	}

	#handleRequest({request, response}: {readonly request: IncomingMessage; readonly response: ServerResponse}): void {
		this.#lineFeedGuard?.noteRequest(request);
		if (this.#refusedConnections.has(request.socket)) {
			// The caller has already received a refusal that says that nothing was run.
			request.socket.destroy();
			return;
		}

		if (!this.#connections.accept({socket: request.socket, response, isLast: this.#mayOfferUpgrade(request)})) {
			return;
		}

		if (request.httpVersion !== '1.1') {
			// HTTP/1.0 has no chunked encoding, so a caller could not distinguish a complete response from a truncated one.
			this.#refuseRequest({response, refusal: {reason: 'bad-request', execution: 'not-run', detail: `expected HTTP/1.1, found HTTP/${request.httpVersion}`}});
			return;
		}

		if (countHosts(request) > 1) {
			this.#refuseRequest({response, refusal: {reason: 'bad-request', execution: 'not-run', detail: 'host: expected one header, found several'}});
			return;
		}

		if (this.#headerCount.isExceededBy(request)) {
			this.#refuseRequest({response, refusal: {reason: 'headers-too-large', execution: 'not-run', detail: `headers: expected at most ${this.#headerCount.max} of them`}});
			return;
		}

		const {socket} = request;
		void this.#options.route({request, response, hasRequestsBehind: () => this.#connections.latestResponse(socket) !== response});
	}

	/**
	 * Whether a request may offer to switch to another protocol. The offer is ignored (RFC 9110, section 7.8), but the runtime's
	 * parser drops bytes that it has received behind such a request, so the request has to be the last of its connection. The
	 * parser reads the offer from more headers than `connection`, and from headers that it does not list.
	 */
	#mayOfferUpgrade(request: IncomingMessage): boolean {
		return request.headers.upgrade !== undefined || this.#headerCount.isExceededBy(request);
	}

	/** Refuses a request whose identifier cannot be relied on. */
	#refuseRequest({response, refusal}: {readonly response: ServerResponse; readonly refusal: Refusal}): void {
		this.#options.counters.refused(refusal.reason);
		sendRefusal({
			response, id: randomUUID(), refusal, format: this.#options.refusalFormat,
		});
	}

	/** Refuses a request for a tunnel once the responses in front of it are sent. The runtime has removed its own listeners from the socket. */
	#handleConnect(socket: Socket): void {
		socket.on('error', () => {
			this.#options.counters.add('callers.tunnel-connection-failed');
		});
		const refuse = (): void => {
			this.#refuseConnection({socket, refusal: {reason: 'bad-request', execution: 'not-run', detail: 'CONNECT is not supported'}});
		};

		const latest = this.#connections.latestResponse(socket);
		if (latest?.writableFinished === false) {
			latest.once('finish', refuse);
		} else {
			refuse();
		}
	}

	#handleClientError({error, socket}: {readonly error: Error & {code?: string}; readonly socket: Socket}): void {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const latestResponse = this.#connections.latestResponse(socket);
		if (latestResponse?.writableFinished === false) {
			this.#stopReading({error, socket, latestResponse});
			return;
		}

		const refusal = toRefusal({error, limits: this.#limits});
		if (refusal.reason !== 'headers-too-slow') {
			this.#refuseConnection({socket, refusal});
			return;
		}

		// If the process was stalled, the timeout can fire before input that arrived in time has been read. That input is read
		// in the poll phase, which comes before the next check phase, where this callback runs.
		setImmediate(() => {
			if (this.#connections.latestResponse(socket) === latestResponse && socket.writable) {
				this.#refuseConnection({socket, refusal});
			}
		});
	}

	/** Stops reading from a connection with a call in progress. No refusal may be written into the response to that call. */
	#stopReading({error, socket, latestResponse}: {readonly error: Error & {code?: string}; readonly socket: Socket; readonly latestResponse: ServerResponse}): void {
		if (this.#malformedConnections.has(socket)) {
			return;
		}

		this.#malformedConnections.add(socket);
		const refusal = toRefusal({error, limits: this.#limits});
		this.#options.counters.refused(refusal.reason);
		if (latestResponse.req.complete) {
			// The input after a complete request is malformed: the call gets its response, then the connection is closed.
			socket.pause();
			if (!latestResponse.headersSent) {
				latestResponse.setHeader('connection', 'close');
			}
		} else {
			// The first part of a streamed body may have reached a backend server already.
			sendRefusal({
				response: latestResponse, id: randomUUID(), refusal: {...refusal, execution: 'unknown'}, format: this.#options.refusalFormat,
			});
		}
	}

	/** Sends a refusal on a connection without a parsed request, then closes the connection. */
	#refuseConnection({socket, refusal}: {readonly socket: Socket; readonly refusal: Refusal}): void {
		this.#refusedConnections.add(socket);
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
		socket.setTimeout(REFUSING_PERIOD_MS, () => {
			socket.destroy();
		});
	}
}
