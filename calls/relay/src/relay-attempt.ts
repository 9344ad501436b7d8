/** One attempt of a request: connects to a backend server, exchanges the request and response, and classifies the result. */
import {Exchange, listHeaders} from '@pomelopick/calls.forwarding';
import type {AttemptResponse, AttemptFailure} from '@pomelopick/calls.forwarding';
import type {ConnectionLease} from '@pomelopick/calls.connections';
import type {InFlightCall, RequestFingerprint, ServerRun} from '@pomelopick/calls.quarantine';
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {ObjectPlacement} from '@pomelopick/steering.objects';
import type {InFlightRequest} from '@pomelopick/steering.servers';
import type {RetryReason, ServerLoad} from '@pomelopick/core.types';
import type {AttemptParts} from './attempt-parts.js';
import type {AttemptFailureResult, AttemptResult} from './attempt-result.js';
import {
	failureEnds, failureOfAnswerClass, failureOfAttempt, slotEnds, wasDropped,
} from './attempt-result.js';
import {BUFFERED_ANSWER_BYTES, mayBufferFurther} from './buffered-answers.js';
import {classifyAnswer} from './classify-answer.js';
import type {ConnectionCheck} from './connection-check.js';
import type {MonitoredAttempt} from './contact-monitor.js';
import type {RelayServer} from './relay-server.js';
import type {AttemptTiming, RelayedRequest} from './relayed-request.js';
import {unsentUpload} from './server-uploads.js';
import type {RecallableAttempt, RecallOptions} from './unsent-attempts.js';

/** Time reserved for returning the response to the caller, in milliseconds. */
const RETURN_RESERVE_MS = 20;
/** Options of {@link RelayAttempt}. */
export interface RelayAttemptOptions {
	readonly request: RelayedRequest;
	readonly placement: ObjectPlacement;
	readonly parts: AttemptParts;
}

/** One attempt of a request at one backend server. */
export class RelayAttempt implements RecallableAttempt, InFlightCall, MonitoredAttempt {
	readonly #options: RelayAttemptOptions;
	#exchange: Exchange | undefined;
	#inFlight: InFlightRequest = {expectedMs: 0, sentAtMs: 0};
	#timeLeftMs: number | undefined;
	#recallReason: RetryReason | undefined;
	/** Run whose answer has begun and is not complete. */
	#partialRun: ServerRun | undefined;

	constructor(options: RelayAttemptOptions) {
		this.#options = options;
	}

	get isSuspect(): boolean {
		const {request, parts} = this.#options;
		return request.isSuspect || parts.isSuspect(request);
	}

	get mayHaveRun(): boolean {
		return this.#exchange?.mayHaveRun === true;
	}

	/** What the attempt told its server and how long it waited for its connection, for the log line of its request. */
	get timing(): AttemptTiming {
		const waitEndMs = this.#exchange?.startedAtMs;
		return {timeLeftMs: this.#timeLeftMs, waitedMs: waitEndMs === undefined ? undefined : Math.round(waitEndMs - this.#inFlight.sentAtMs)};
	}

	/** Makes the attempt. Never rejects. */
	async run(): Promise<AttemptResult> {
		const {placement, parts, request} = this.#options;
		if (!request.options.route.isUpload) {
			return this.#run();
		}

		const {known} = placement;
		return parts.uploads.send({
			request, server: known.server.name, attempt: this, send: async () => parts.placer.isStillUsable({known, nowMs: parts.now()})
				? this.#run()
				: unsentUpload(`${known.server.name} can no longer be used`),
		});
	}

	fingerprint(): RequestFingerprint {
		return this.#options.request.fingerprint();
	}

	/** Aborts the attempt by closing its connection, which cancels the server's work. */
	abort(failure: Pick<AttemptFailure, 'kind' | 'detail'>): void {
		this.#exchange?.abort(failure);
		if (this.#partialRun) {
			this.#options.parts.crashDetector.end(this.#partialRun);
		}
	}

	giveUp(detail: string): void {
		if (this.#options.request.isIdempotent || !this.mayHaveRun) {
			this.abort({kind: 'silent-connection', detail});
		}
	}

	recall({reason, detail}: Omit<RecallOptions, 'server'>): boolean {
		if (!this.#exchange || this.#exchange.mayHaveRun) {
			return false;
		}

		this.#recallReason = reason;
		this.#exchange.abort({kind: 'cancelled', detail});
		return true;
	}

	/** Monotonic time at which the attempt began, in milliseconds. */
	get sentAtMs(): number {
		return this.#inFlight.sentAtMs;
	}

	/** Time that the attempt is expected to take, in milliseconds. */
	get expectedMs(): number {
		return this.#inFlight.expectedMs;
	}

	/** The server of the attempt. */
	get server(): RelayServer {
		const {placement, parts} = this.#options;
		const {name, service, startedAtMs, address, port} = placement.known.server;
		return {
			name, service, startedAtMs, address, port, connections: parts.maxConnections(placement),
		};
	}

	async #run(): Promise<AttemptResult> {
		const {placement, parts, request} = this.#options;
		const {server} = this;
		const lease = parts.connections.acquire({server});
		if (lease.isLeft()) {
			return {
				kind: 'failure', reason: 'connect-failed', retryReason: 'connect-failed', mayHaveRun: false, wasSent: false, detail: `${server.name}: all connections that this instance may open to it are in use`,
			};
		}

		this.#inFlight = {expectedMs: placement.expectedMs, sentAtMs: parts.now(), workFactor: placement.workFactor};
		parts.observations.get(placement.known.server).begin(this.#inFlight);
		const run = parts.crashDetector.begin({server: server.name, call: this});
		request.sentTo.add(server.name);
		parts.rateLimitUse.record({server: placement.known.server, kind: 'sent'});
		const exchange = this.#createExchange(lease.unsafeCoerce());
		this.#exchange = exchange;
		parts.unsent.add({server: server.name, attempt: this});
		parts.contactMonitor.track(this);
		exchange.send();
		const result = await exchange.result;
		parts.contactMonitor.untrack(this);
		parts.unsent.delete({server: server.name, attempt: this});
		const attemptResult = result.caseOf({
			Left: failure => this.#toFailureResult(failure),
			Right: answer => this.#toAnswerResult({answer, run}),
		});
		if (attemptResult.kind === 'failure' && !attemptResult.wasSent) {
			request.sentTo.delete(server.name);
		}

		const crashCheck = result.isLeft() ? this.#endRun({run, failure: result.extract()}) : undefined;
		return attemptResult.kind === 'failure' && crashCheck ? {...attemptResult, crashCheck} : attemptResult;
	}

	/** Ends the run of a failed attempt. Returns the check of the server if it dropped the request, or undefined. */
	#endRun({run, failure}: {readonly run: ServerRun; readonly failure: AttemptFailure}): Promise<boolean> | undefined {
		const {crashDetector, contactMonitor} = this.#options.parts;
		const {server, mayHaveRun} = this;
		const crashCheck = wasDropped(failure) ? crashDetector.checkForCrash(server) : undefined;
		if (!crashCheck && mayHaveRun && this.isSuspect) {
			void contactMonitor.checkAfterSuspect(server);
		}

		crashDetector.end(run);
		return crashCheck;
	}

	#createExchange(lease: ConnectionLease): Exchange {
		const {request, placement, parts} = this.#options;
		const {id, method, path, headers, body, answerByMs} = request.options;
		const names = parts.format.headers;
		const stateTimeLeft = (): string => {
			this.#timeLeftMs = Math.max(1, Math.floor(answerByMs - parts.now() - RETURN_RESERVE_MS));
			return String(this.#timeLeftMs);
		};

		return new Exchange({
			lease,
			callId: id,
			idHeader: names.requestId,
			requiresId: true,
			acceptsUnframed: true,
			method,
			path,
			checkConnection: ({isNew}): ReturnType<ConnectionCheck['check']> => parts.connectionCheck.check({known: placement.known, connection: lease.connection, isNew}),
			mayStart: () => parts.identityRefusal(request) === undefined,
			headers: () => listHeaders({
				headers, added: [names.requestId, id, names.timeLeft, stateTimeLeft(), names.expectedServer, placement.known.server.name],
			}),
			body: body.content,
			reservation: request.options.reservation,
			maxBufferedBytes: BUFFERED_ANSWER_BYTES,
			mayBufferFurther: bytes => mayBufferFurther({
				request, bytes, sentAtMs: this.#inFlight.sentAtMs, nowMs: parts.now(),
			}),
			onHead: head => {
				parts.notices.read({server: placement.known.server, head, request: {id, sentAtMs: this.#inFlight.sentAtMs}});
				parts.contactMonitor.recordResponse({server: placement.known.server, openedAtMs: lease.connection.openedAtMs});
				parts.crashDetector.recordResponse({server: placement.known.server.name, openedAtMs: lease.connection.openedAtMs});
			},
			now: parts.now,
		});
	}

	#toAnswerResult({answer, run}: {readonly answer: AttemptResponse; readonly run: ServerRun}): AttemptResult {
		const {parts, request, placement} = this.#options;
		const {status, headers} = answer;
		const {name} = placement.known.server;
		const answerClass = classifyAnswer({status, headers, names: parts.format.headers});
		const load = this.#readLoad(answer);
		this.#recordEnd({end: slotEnds[answerClass], load});
		switch (answerClass) {
			case 'deliver':
			case 'server-failure': {
				const {route, object} = request.options;
				const nowMs = parts.now();
				parts.placer.recordAnswer({
					route, object, placement, heldMs: nowMs - this.#inFlight.sentAtMs, workFactor: load?.workFactor, nowMs,
				});
				return {kind: 'answer', answer: this.#resolveWith({answer, run}), answerClass};
			}

			case 'unusable':
			case 'not-run':
			case 'other-server': {
				this.#discard({answer, run});
				return failureOfAnswerClass({
					answerClass, status, server: name, load,
				});
			}
		}
	}

	/** Load that the server reports in a response; undefined: none that can be read. */
	#readLoad({headers}: AttemptResponse): ServerLoad | undefined {
		const {parts: {format, notices}, placement} = this.#options;
		const text = headers[format.headers.serverLoad];
		const load = typeof text === 'string' ? format.decodeServerLoad(text) : undefined;
		if (load?.ignoredText !== undefined) {
			notices.reportIgnoredLoad({server: placement.known.server, text: load.ignoredText});
		}

		return load;
	}

	#toFailureResult(failure: AttemptFailure): AttemptFailureResult {
		this.#recordEnd({end: failureEnds[failure.kind], load: undefined});
		if (failure.isConnectionLost === true) {
			this.#options.parts.contactMonitor.lose({server: this.server, detail: failure.detail});
		}

		return failureOfAttempt({failure, recallReason: this.#recallReason, server: this.#options.placement.known.server.name});
	}

	/** Resolves a run with its answer: at once, or when the rest of a partial answer has arrived. */
	#resolveWith({answer, run}: {readonly answer: AttemptResponse; readonly run: ServerRun}): AttemptResponse {
		if (answer.kind === 'whole') {
			this.#options.parts.crashDetector.resolve(run);
			return answer;
		}

		this.#partialRun = run;
		return {
			...answer, forward: async response => {
				const forwarded = await answer.forward(response);
				forwarded.ifLeft(failure => {
					void this.#endRun({run, failure});
				}).ifRight(() => {
					this.#options.parts.crashDetector.resolve(run);
				});
				return forwarded;
			},
		};
	}

	#discard({answer, run}: {readonly answer: AttemptResponse; readonly run: ServerRun}): void {
		this.#options.parts.crashDetector.resolve(run);
		if (answer.kind === 'partial') {
			this.abort({kind: 'cancelled', detail: 'the response is not used'});
		}
	}

	#recordEnd({end, load}: {readonly end: SlotEnd; readonly load: ServerLoad | undefined}): void {
		const {request, placement, parts} = this.#options;
		parts.admission.recordEnd({request, end, load});
		parts.observations.get(placement.known.server).end({
			request: this.#inFlight, end, load, nowMs: parts.now(),
		});
	}
}
