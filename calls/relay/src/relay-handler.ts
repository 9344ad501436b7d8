/** Relays requests from callers to backend servers. Every request gets exactly one final response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	endToEndRequestHeaders, BUFFERED_BODY_BYTES, BufferBudget, readBody, sendRefusal, sendCompleteResponse,
} from '@pomelopick/calls.forwarding';
import type {
	AttemptResponse, BufferReservation, CallerDisconnects, RefusalFormat,
} from '@pomelopick/calls.forwarding';
import type {Quarantine} from '@pomelopick/calls.quarantine';
import type {LiveView} from '@pomelopick/calls.live';
import type {DecisionLog} from '@pomelopick/core.telemetry';
import type {Refusal, ServiceName} from '@pomelopick/core.types';
import {chooseTarget} from '@pomelopick/steering.routes';
import {admitRequest} from './admit-request.js';
import {stateIdentity} from './authenticate.js';
import type {Admitted} from './admit-request.js';
import {BUFFERED_ANSWER_BYTES} from './buffered-answers.js';
import {decodeForwarded, forwardedHeaders, omitForwarded} from './forwarded-request.js';
import type {ForwardedRequest} from './forwarded-request.js';
import {LARGE_RESPONSE_BYTES, LargeTransfers, releaseWhenSent} from './large-transfers.js';
import {processPendingInput} from './pending-input.js';
import {RelayedRequest} from './relayed-request.js';
import {RelayRun} from './relay-run.js';
import type {RunParts} from './relay-run.js';
import {RequestLog} from './request-log.js';

/** Options of {@link RelayHandler}. */
export interface RelayHandlerOptions {
	readonly view: LiveView;
	readonly parts: RunParts;
	readonly callerDisconnects: CallerDisconnects;
	readonly quarantine: Quarantine;
	readonly log: DecisionLog;
	/** Maximum number of requests in progress, and of bytes of bodies and responses that are held for them together. */
	readonly limits: {readonly requests: number; readonly heldBytes: number};
	/** Maximum number of requests in progress for now, at most that of the limits. */
	readonly requestLimit: () => number;
	/** Records a request of a service for its retry budget. */
	readonly recordRequest: (service: ServiceName) => void;
	/** Monotonic time at which this instance stops, in milliseconds; undefined while it is not leaving. */
	readonly endsAtMs: () => number | undefined;
	/** Returns a random number from 0 up to, but not including, 1. */
	readonly random: () => number;
}

/** Options of {@link RelayHandler.handle}. */
export interface HandleRequestOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Whether further requests have arrived behind this one on its connection; never if left out. */
	readonly hasRequestsBehind?: () => boolean;
	/** What another instance stated that forwarded the request; undefined: the request is a caller's own. */
	readonly forwarded?: ForwardedRequest;
	/** Path and query of the request; those of its HTTP message by default. */
	readonly path?: string;
}

/** A quarantined request is well-formed, so its status asks the caller to retry later instead of reporting a bad request. */
const statusOverrides: RefusalFormat['statuses'] = {'request-quarantined': 503};
const QUARANTINE_RETRY_AFTER_MS = 5000;

/** Relays requests. */
export class RelayHandler {
	readonly #options: RelayHandlerOptions;
	readonly #bufferBudget: BufferBudget;
	readonly #largeTransfers = new LargeTransfers();
	readonly #refusalFormat: RefusalFormat;
	readonly #requestLog: RequestLog;
	readonly #runs = new Set<RelayRun>();
	#inProgress = 0;
	#forwardedInProgress = 0;

	constructor(options: RelayHandlerOptions) {
		const {view, log, parts: {format, counters, now}} = options;
		this.#options = options;
		this.#requestLog = new RequestLog({
			log, counters, now, configurationVersion: () => view.routeSet?.version,
		});
		this.#bufferBudget = new BufferBudget({most: options.limits.heldBytes});
		this.#refusalFormat = {
			idHeader: format.headers.requestId, encodeRetryAfter: format.encodeRetryAfter, statuses: statusOverrides, challenge: format.credentialsChallenge,
		};
	}

	/** Number of requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Bytes that are held for callers and servers, those of responses among them, and their maximum. */
	get heldBytes(): Pick<BufferBudget, 'reservedBytes' | 'responseBytes' | 'maxBytes'> {
		return this.#bufferBudget;
	}

	/** Ends all requests in progress, so that ready responses behind them on their connections can still be sent. */
	stop(): void {
		for (const run of this.#runs) {
			run.stop();
		}
	}

	/** Relays one request. Resolves after its final response was sent; never rejects. */
	async handle(options: HandleRequestOptions): Promise<void> {
		const arrivedAtMs = this.#options.parts.now();
		const {view, requestLimit, endsAtMs, parts: {format}} = this.#options;
		const admitted = admitRequest({
			...options,
			arrivedAtMs,
			view,
			limit: requestLimit(),
			endMs: endsAtMs(),
			names: format.headers,
			hasBytesLeft: route => this.#bufferBudget.hasRoom({isLarge: this.#largeTransfers.isExpected({route, request: options.request})}),
			inProgress: this.#inProgress,
			forwardedInProgress: this.#forwardedInProgress,
		});
		if (admitted.isLeft()) {
			const refusal = admitted.extract();
			if (refusal.reason === 'unauthorised' && !options.request.complete) {
				// Connections may carry requests of several callers: one whose whole body has arrived must not end that of the others.
				await processPendingInput();
			}

			this.#refuseEarly({...options, refusal});
			return;
		}

		this.#inProgress += 1;
		this.#forwardedInProgress += Number(options.forwarded !== undefined);
		const reservation = this.#bufferBudget.openReservation();
		try {
			await this.#readAndRelay({
				...options, admitted: admitted.unsafeCoerce(), arrivedAtMs, reservation,
			});
		} finally {
			this.#inProgress -= 1;
			this.#forwardedInProgress -= Number(options.forwarded !== undefined);
			releaseWhenSent({response: options.response, reservation, callerDisconnects: this.#options.callerDisconnects});
		}
	}

	/** Relays a request that another instance forwarded, under its original path. Resolves after its final response was sent; never rejects. */
	async handleForwarded({request, response, path}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly path: string}): Promise<void> {
		response.setHeader(forwardedHeaders.refusedAfter, '0');
		const decoded = decodeForwarded(request.headers);
		await decoded.caseOf({
			Left: async ({message}) => {
				this.#refuseEarly({request, response, refusal: {reason: 'bad-request', execution: 'not-run', detail: message}});
			},
			Right: async forwarded => this.handle({
				request, response, forwarded, path,
			}),
		});
	}

	/** Reads the body of an admitted request, chooses its service and relays it. */
	async #readAndRelay({request, response, hasRequestsBehind, forwarded, path, admitted: {route, identity, timeLeftMs}, arrivedAtMs, reservation}: HandleRequestOptions & {
		readonly admitted: Admitted;
		readonly arrivedAtMs: number;
		readonly reservation: BufferReservation;
	}): Promise<void> {
		const {view, parts, random, recordRequest} = this.#options;
		const names = parts.format.headers;
		const answerWithinMs = Math.min(route.timeoutMs, timeLeftMs ?? route.timeoutMs);
		const body = await readBody({
			request, maxBytes: view.routeSet!.limits.bodyBytes, maxBufferedBytes: BUFFERED_BODY_BYTES, timeoutMs: answerWithinMs, tryReserve: bytes => reservation.tryReserve(bytes),
		});
		if (body.isLeft()) {
			this.#refuseEarly({request, response, refusal: body.extract()});
			return;
		}

		const service = forwarded?.service ?? chooseTarget({route, part: random()});
		if (!forwarded) {
			// The instance that forwards has counted it.
			recordRequest(service);
		}

		const object = request.headers[names.objectKey];
		await this.#relay({
			response, relayed: new RelayedRequest({
				id: String(request.headers[names.requestId]),
				route: forwarded ? {...route, maxServers: Math.min(route.maxServers, forwarded.maxServers)} : route,
				service,
				method: request.method ?? 'GET',
				path: path ?? request.url ?? '/',
				headers: stateIdentity({headers: forwarded ? omitForwarded(endToEndRequestHeaders(request)) : endToEndRequestHeaders(request), identity, names}),
				identity,
				body: body.unsafeCoerce(),
				reservation,
				hasRequestsBehind,
				caller: forwarded?.caller ?? request.socket.remoteAddress ?? '',
				object: typeof object === 'string' ? object : undefined,
				arrivedAtMs,
				answerByMs: arrivedAtMs + answerWithinMs,
				isForwarded: forwarded !== undefined,
			}),
		});
	}

	async #relay({response, relayed}: {readonly response: ServerResponse; readonly relayed: RelayedRequest}): Promise<void> {
		const {parts, callerDisconnects} = this.#options;
		if (parts.statusOf(relayed) === 'convicted') {
			this.#refuse({
				response, relayed, refusal: {
					reason: 'request-quarantined',
					execution: 'not-run',
					detail: 'the request is quarantined because it is considered to crash backend servers',
					retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
				},
			});
			return;
		}

		const run = new RelayRun({request: relayed, parts});
		this.#runs.add(run);
		const timer = setTimeout(() => {
			run.expire();
		}, Math.max(1, relayed.options.answerByMs - parts.now()));
		const unwatch = callerDisconnects.watch({
			socket: response.req.socket, onGone() {
				run.leave();
			},
		});
		await processPendingInput();
		const {reservation, route} = relayed.options;
		reservation?.expect(this.#largeTransfers.isExpected({route, request: response.req}) ? LARGE_RESPONSE_BYTES : 0);
		const result = await run.run();
		const isLarge = result.map(answer => answer.kind === 'partial' || answer.body.length > BUFFERED_ANSWER_BYTES).orDefault(false);
		// A large response that has just begun holds few bytes, but more as soon as its caller is slower than its server.
		reservation?.expect(isLarge ? LARGE_RESPONSE_BYTES : 0);
		result.ifRight(() => {
			this.#largeTransfers.record({route, isLarge});
		});
		await result.caseOf({
			Left: async refusal => {
				this.#refuse({response, relayed, refusal});
			},
			Right: async answer => this.#deliver({response, relayed, answer}),
		});
		clearTimeout(timer);
		unwatch();
		this.#runs.delete(run);
	}

	async #deliver({response, relayed, answer}: {readonly response: ServerResponse; readonly relayed: RelayedRequest; readonly answer: AttemptResponse}): Promise<void> {
		const {status, headers} = answer;
		if (relayed.options.isForwarded) {
			response.removeHeader(forwardedHeaders.refusedAfter);
			response.setHeader(forwardedHeaders.answeredBy, relayed.answeredBy ?? '');
		}

		if (answer.kind === 'whole') {
			this.#recordAnswer(relayed);
			sendCompleteResponse({
				response, id: undefined, status, headers, body: answer.body,
			});
			this.#requestLog.answered({relayed, status});
			return;
		}

		const forwarded = await answer.forward(response);
		forwarded.ifLeft(({detail}) => {
			this.#requestLog.cut({relayed, detail});
		}).ifRight(() => {
			this.#recordAnswer(relayed);
			this.#requestLog.answered({relayed, status});
		});
	}

	/** Records that a server answered a request completely: this run did not crash the server. */
	#recordAnswer(relayed: RelayedRequest): void {
		if (!this.#options.quarantine.isEmpty) {
			this.#options.quarantine.recordAnswer(relayed.fingerprint());
		}
	}

	#refuse({response, relayed, refusal}: {readonly response: ServerResponse; readonly relayed: RelayedRequest; readonly refusal: Refusal}): void {
		this.#options.parts.counters.refused(refusal.reason);
		this.#requestLog.refused({relayed, refusal});
		if (relayed.options.isForwarded && !response.headersSent) {
			response.setHeader(forwardedHeaders.refusedAfter, String(relayed.sentTo.size));
		}

		sendRefusal({
			response, id: relayed.options.id, refusal, format: this.#refusalFormat,
		});
	}

	#refuseEarly({request, response, refusal}: HandleRequestOptions & {readonly refusal: Refusal}): void {
		const {parts} = this.#options;
		const id = String(request.headers[parts.format.headers.requestId] ?? '');
		parts.counters.refused(refusal.reason);
		this.#requestLog.refusedEarly({id, refusal});
		sendRefusal({
			response, id, refusal, format: this.#refusalFormat,
		});
	}
}
