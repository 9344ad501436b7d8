/**
 * Stand-in for a backend server.
 *
 * The query of a call may contain `workMs`, `bytes` and `crash`. The response repeats the id, method and path of the
 * call and contains a digest of its padding, so that a caller can check that it is complete and belongs to its call.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Endpoint} from '@pomelopick/core.types';
import {defaultBehaviour} from './behaviour.js';
import type {BackendBehaviour, Execution} from './behaviour.js';
import {
	digest, readBody, sendJson, stopServer,
} from './http.js';
import {LoadReports} from './load-reports.js';
import {Slots} from './slots.js';

const DEFAULT_MAX_CONNECTIONS = 330;
const MAX_PADDING_BYTES = 16_777_216;

/** Options of {@link startBackendStandIn}. */
export interface StartBackendStandInOptions {
	readonly name: string;
	readonly slots: number;
	readonly port?: number;
	readonly connections?: number;
	readonly behaviour?: Partial<BackendBehaviour>;
	/** Called when a request crashes the server. */
	readonly crash: () => void;
	/** Called when an execution starts and when it ends, before the request crashes the server or a response is sent. */
	readonly onExecution?: (report: ExecutionReport) => void;
}

/** An execution and its number, counted from 1 in one process. */
export interface ExecutionReport {
	readonly number: number;
	readonly execution: Execution;
}

/** A running stand-in. */
export interface BackendStandIn {
	readonly endpoint: Endpoint;
	readonly behaviour: BackendBehaviour;
	readonly executions: readonly Execution[];
	readonly statistics: () => BackendStatistics;
	stop(): Promise<void>;
}

/** Counters of the stand-in. */
export interface BackendStatistics {
	readonly name: string;
	readonly executed: number;
	readonly shed: number;
	readonly worstInFlight: number;
	readonly connectionsRefused: number;
	readonly openConnections: number;
}

/** Starts a backend server on the loopback address. */
export async function startBackendStandIn(options: StartBackendStandInOptions): Promise<BackendStandIn> {
	const backend = new Backend(options);
	const server = createServer((request, response) => {
		void backend.serve({request, response});
	});
	server.maxConnections = options.connections ?? DEFAULT_MAX_CONNECTIONS;
	server.on('connection', socket => {
		backend.onConnection(socket);
	});
	server.on('drop', () => {
		backend.connectionsRefused += 1;
	});
	await new Promise<void>(resolve => {
		server.listen(options.port ?? 0, '127.0.0.1', resolve);
	});
	return {
		endpoint: {address: '127.0.0.1', port: (server.address() as AddressInfo).port},
		behaviour: backend.behaviour,
		executions: backend.executions,
		statistics: () => backend.statistics(),
		stop: async () => stopServer(server),
	};
}

interface ExecuteOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
	readonly body: Uint8Array;
	readonly signal: AbortSignal;
}

class Backend {
	readonly behaviour: BackendBehaviour;
	readonly executions: Execution[] = [];
	connectionsRefused = 0;
	readonly #options: StartBackendStandInOptions;
	readonly #slots: Slots;
	readonly #startedAtMs = performance.now();
	readonly #sockets = new Set<Socket>();
	readonly #reports = new LoadReports();
	#shed = 0;

	constructor(options: StartBackendStandInOptions) {
		this.#options = options;
		this.behaviour = {...defaultBehaviour, ...options.behaviour};
		this.#slots = new Slots({count: options.slots});
	}

	statistics(): BackendStatistics {
		return {
			name: this.#options.name,
			executed: this.executions.length,
			shed: this.#shed,
			worstInFlight: this.#slots.peakInFlight,
			connectionsRefused: this.connectionsRefused,
			openConnections: this.#sockets.size,
		};
	}

	onConnection(socket: Socket): void {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async serve({request, response}: {readonly request: IncomingMessage; readonly response: ServerResponse}): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://backend');
		if (url.pathname.startsWith('/stand-in/')) {
			await this.#control({request, response, url});
			return;
		}

		if (url.pathname === '/load' || url.pathname === '/health') {
			this.#sendReport({response, path: url.pathname});
			return;
		}

		await this.#handleCall({request, response, url});
	}

	async #handleCall({request, response, url}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL}): Promise<void> {
		const cancelled = new AbortController();
		response.once('close', () => {
			cancelled.abort();
		});
		const body = await readBody(request);
		if (this.behaviour.draining || !await this.#slots.acquire({queueCalls: this.behaviour.queueCalls, signal: cancelled.signal})) {
			this.#shed += 1;
			this.#recordLoad();
			sendJson({
				response, status: 503, body: {error: this.behaviour.draining ? 'draining' : 'no slot'}, headers: {'x-draining': String(this.behaviour.draining)},
			});
			return;
		}

		this.#recordLoad();
		try {
			await this.#execute({
				request, response, url, body, signal: cancelled.signal,
			});
		} finally {
			this.#slots.release();
			this.#recordLoad();
		}
	}

	async #execute({request, response, url, body, signal}: ExecuteOptions): Promise<void> {
		const execution: Execution = {
			callId: String(request.headers['x-call-id'] ?? ''),
			idempotencyKey: request.headers['idempotency-key'] as string | undefined,
			method: request.method ?? '',
			path: url.pathname + url.search,
			startedAtMs: Date.now(),
			endedAtMs: undefined,
			ended: 'running',
		};
		this.executions.push(execution);
		const number = this.executions.length;
		const report = (): void => {
			this.#options.onExecution?.({number, execution});
		};

		report();
		if (url.searchParams.has('crash')) {
			this.#options.crash();
			return;
		}

		await this.#work({url, signal});
		execution.endedAtMs = Date.now();
		if (signal.aborted) {
			execution.ended = 'cancelled';
			report();
			return;
		}

		const answer = this.#renderResponse({execution, url, body});
		if (this.behaviour.truncateEvery > 0 && this.executions.length % this.behaviour.truncateEvery === 0) {
			execution.ended = 'truncated';
			report();
			response.writeHead(200, {'content-type': 'application/json', 'content-length': String(answer.length)});
			response.write(answer.subarray(0, Math.floor(answer.length / 2)), () => {
				response.destroy();
			});
			return;
		}

		execution.ended = 'answered';
		report();
		response.writeHead(200, {'content-type': 'application/json', 'content-length': String(answer.length), 'x-call-id': execution.callId});
		response.end(answer);
	}

	async #work({url, signal}: {readonly url: URL; readonly signal: AbortSignal}): Promise<void> {
		const isCold = performance.now() - this.#startedAtMs < this.behaviour.coldForMs;
		const workMs = Number(url.searchParams.get('workMs') ?? this.behaviour.workMs) + (isCold ? this.behaviour.coldExtraMs : 0);
		try {
			await sleep(workMs, undefined, {signal});
		} catch {
			// The caller cancelled the call.
		}
	}

	#renderResponse({execution, url, body}: {readonly execution: Execution; readonly url: URL; readonly body: Uint8Array}): Uint8Array {
		const bytes = Math.min(MAX_PADDING_BYTES, Number(url.searchParams.get('bytes') ?? this.behaviour.answerBytes));
		const padding = 'x'.repeat(bytes);
		return new TextEncoder().encode(JSON.stringify({
			server: this.#options.name,
			callId: execution.callId,
			method: execution.method,
			path: execution.path,
			bodyDigest: digest(body),
			padding,
			paddingDigest: digest(padding),
		}));
	}

	#sendReport({response, path}: {readonly response: ServerResponse; readonly path: string}): void {
		if (this.behaviour.reportsSilent) {
			return;
		}

		const report = this.#reports.read({lagMs: this.behaviour.reportLagMs}) ?? {inFlight: 0, draining: this.behaviour.draining};
		if (path === '/health') {
			const isHealthy = this.behaviour.reportedHealthy ?? !report.draining;
			sendJson({response, status: isHealthy ? 200 : 503, body: {state: report.draining ? 'draining' : 'serving'}});
			return;
		}

		sendJson({response, status: 200, body: {inFlight: this.behaviour.reportedInFlight ?? report.inFlight, slots: this.#options.slots, draining: report.draining}});
	}

	#recordLoad(): void {
		this.#reports.add({
			inFlight: this.#slots.inUse + this.#slots.waiting, draining: this.behaviour.draining, lagMs: this.behaviour.reportLagMs,
		});
	}

	async #control({request, response, url}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly url: URL}): Promise<void> {
		const body = await readBody(request);
		switch (url.pathname) {
			case '/stand-in/behaviour': {
				Object.assign(this.behaviour, JSON.parse(new TextDecoder().decode(body)));
				this.#recordLoad();
				if (this.behaviour.freezeOpenConnections) {
					this.behaviour.freezeOpenConnections = false;
					this.#freezeConnectionsExcept(request.socket);
				}

				sendJson({response, status: 200, body: this.behaviour});
				return;
			}

			case '/stand-in/executions': {
				sendJson({response, status: 200, body: this.executions});
				return;
			}

			default: {
				sendJson({response, status: 200, body: this.statistics()});
			}
		}
	}

	#freezeConnectionsExcept(excluded: Socket): void {
		for (const socket of this.#sockets) {
			if (socket !== excluded) {
				socket.pause();
				socket.removeAllListeners('data');
				socket.write = () => true;
				socket.end = () => socket;
			}
		}
	}
}
