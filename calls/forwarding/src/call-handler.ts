/** Handles one call from its arrival to its final response. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import type {
	CallId, ConfigurationSet, Refusal, RefusalReason, SiteName,
} from '@pomelopick/core.types';
import type {Counters, EventRecord, Log} from '@pomelopick/core.telemetry';
import type {BackendConnections} from '@pomelopick/calls.connections';
import type {CrashDetector, Quarantine} from '@pomelopick/calls.quarantine';
import {admitCall} from './admission.js';
import type {AdmittedCall, CallLimits} from './admission.js';
import type {CompletedAttempt, AttemptDependencies} from './attempt.js';
import {CALL_ID_HEADER, endToEndRequestHeaders} from './call-headers.js';
import {CallerDisconnects} from './caller-disconnects.js';
import {CallRunner} from './call-runner.js';
import {CallState} from './call-state.js';
import {BufferBudget} from './buffer-budget.js';
import type {BufferReservation} from './buffer-budget.js';
import {isUnanswered} from './is-unanswered.js';
import {isKeyed, qualifyKeyedRefusal} from './keyed-refusal.js';
import type {KeyedOutcome, KeyedRun, KeyGuard} from './key-guard.js';
import type {PlaceCall} from './placement.js';
import {sendRefusal} from './send-refusal.js';
import {sendCompleteResponse} from './send-whole.js';
import {BUFFERED_BODY_BYTES, readBody} from './request-body.js';
import {ServicePolicies} from './service-policies.js';

/** Maximum attempts of one call whose request may have been sent. */
const MAX_SENT_ATTEMPTS = 3;
/** Bytes of a response that are buffered. If a buffered response is truncated, the call can still be retried or refused. */
const BUFFERED_RESPONSE_BYTES = 32_768;
/** Bytes of a keyed call's body, and of its response, that are buffered: copies are compared by the complete body and get the complete response. */
const BUFFERED_KEYED_BYTES = 8_388_608;

/** Options of {@link CallHandler}. */
export interface CallHandlerOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly findSite: (address: string) => SiteName | undefined;
	readonly placeCall: PlaceCall;
	readonly connections: BackendConnections;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	/** Runs keyed calls at most once; if absent, keys are only passed on to the backend server. */
	readonly keyGuard?: KeyGuard;
	readonly limits: CallLimits;
	/** Whether this instance is shutting down and accepts no new calls. */
	readonly isLeaving: () => boolean;
	readonly counters: Counters;
	readonly events: EventRecord;
	readonly log: Log;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link CallHandler.handle}. */
export interface HandleCallOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly serviceName: string;
	/** Path and query that the backend server receives. */
	readonly path: string;
}

interface StartCallOptions {
	readonly options: HandleCallOptions;
	readonly id: CallId;
	readonly admitted: AdmittedCall;
	readonly reservation: BufferReservation;
}

interface RunCallOptions {
	readonly response: ServerResponse;
	readonly call: CallState;
	readonly runner: CallRunner;
}

/** Handles calls. Every call gets exactly one final response. */
export class CallHandler {
	readonly #options: CallHandlerOptions;
	readonly #dependencies: AttemptDependencies;
	readonly #policies: ServicePolicies;
	readonly #bufferBudget: BufferBudget;
	readonly #callerDisconnects = new CallerDisconnects();
	#inProgress = 0;

	constructor(options: CallHandlerOptions) {
		const {placeCall, connections, crashDetector, now, currentSet} = options;
		this.#options = options;
		this.#bufferBudget = new BufferBudget({most: options.limits.heldBytes});
		this.#dependencies = {
			placeCall,
			hasOtherServer: ({service, servers}) => (currentSet()?.backendServers ?? []).some(server => server.service === service && !servers.has(server.name)),
			connections,
			crashDetector,
			now,
		};
		this.#policies = new ServicePolicies({now});
	}

	/** Calls in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Handles one call; resolves after its final response was sent. Never rejects. */
	async handle(options: HandleCallOptions): Promise<void> {
		const {request, response, serviceName} = options;
		const {currentSet, limits, isLeaving} = this.#options;
		const id = randomUUID() as CallId;
		const admitted = admitCall({
			currentSet, limits, isLeaving, inProgress: this.#inProgress, headers: request.headers, serviceName,
		});
		if (admitted.isLeft()) {
			this.#refuse({response, id, refusal: qualifyKeyedRefusal({request, refusal: admitted.extract()})});
			return;
		}

		this.#inProgress += 1;
		const reservation = this.#bufferBudget.openReservation();
		try {
			await this.#startCall({
				options, id, admitted: admitted.unsafeCoerce(), reservation,
			});
		} finally {
			this.#inProgress -= 1;
			reservation.release();
		}
	}

	async #startCall({options: {request, response, path}, id, admitted: {service, parameters}, reservation}: StartCallOptions): Promise<void> {
		const {now, findSite, limits} = this.#options;
		const startedAtMs = now();
		const timeoutMs = parameters.timeoutMs ?? service.defaultTimeoutMs;
		const body = await readBody({
			request, maxBytes: limits.bodyBytes, maxBufferedBytes: isKeyed(request) ? BUFFERED_KEYED_BYTES : BUFFERED_BODY_BYTES, timeoutMs, tryReserve: bytes => reservation.tryReserve(bytes),
		});
		if (body.isLeft()) {
			this.#refuse({response, id, refusal: qualifyKeyedRefusal({request, refusal: body.extract()})});
			return;
		}

		const caller = request.socket.remoteAddress ?? '';
		const call = new CallState({
			id,
			service,
			method: request.method ?? 'GET',
			path,
			headers: endToEndRequestHeaders(request),
			body: body.unsafeCoerce(),
			key: isKeyed(request) ? parameters.key : undefined,
			caller,
			callerSite: findSite(caller),
			startedAtMs,
			deadlineMs: startedAtMs + timeoutMs,
			maxSentAttempts: Math.min(MAX_SENT_ATTEMPTS, parameters.attempts ?? MAX_SENT_ATTEMPTS),
		});
		await this.#runUntilDeadline({response, call});
	}

	/** Runs a call; ends it when its deadline passes or its caller disconnects. */
	async #runUntilDeadline({response, call}: Omit<RunCallOptions, 'runner'>): Promise<void> {
		const {quarantine, counters, now} = this.#options;
		const policy = this.#policies.get(call.options.service.name);
		policy.budget.recordCall();
		const runner = new CallRunner({
			call, dependencies: this.#dependencies, policy, quarantine, counters, maxBufferedBytes: call.options.key === undefined ? BUFFERED_RESPONSE_BYTES : BUFFERED_KEYED_BYTES,
		});
		const timer = setTimeout(() => {
			runner.end('deadline');
		}, Math.max(1, call.options.deadlineMs - now()));
		const unwatch = this.#callerDisconnects.watch({
			socket: response.req.socket, onGone() {
				runner.end('caller');
			},
		});
		const outcome = await this.#runCall({response, call, runner});
		unwatch();
		clearTimeout(timer);
		this.#logCall({call, outcome});
	}

	async #runCall({response, call, runner}: RunCallOptions): Promise<string> {
		const {quarantine, keyGuard} = this.#options;
		const {id, key} = call.options;
		// The status `convicted` means that the request is quarantined.
		if (!quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) === 'convicted') {
			const refusal: Refusal = {reason: 'request-quarantined', execution: 'not-run', detail: 'the request is quarantined because it is considered to crash backend servers'};
			return this.#refuse({response, id, refusal: qualifyKeyedRefusal({request: response.req, refusal})});
		}

		if (!keyGuard || key === undefined) {
			return this.#deliver({response, call, result: await runner.run()});
		}

		const begun = await keyGuard.begin({
			key, service: call.options.service.name, fingerprint: call.fingerprint(), deadlineMs: call.options.deadlineMs, signal: call.cancellation.signal,
		});
		return begun.isLeft()
			? this.#refuse({response, id, refusal: qualifyKeyedRefusal({request: response.req, refusal: begun.extract()})})
			: this.#runKeyedCall({
				response, call, runner, keyed: begun.unsafeCoerce(),
			});
	}

	async #runKeyedCall({response, call, runner, keyed}: RunCallOptions & {readonly keyed: KeyedRun}): Promise<string> {
		if (keyed.kind === 'replay') {
			const {status, headers, body} = keyed.outcome;
			sendCompleteResponse({
				response, id: call.options.id, status, headers, body,
			});
			return `replayed ${status}`;
		}

		const result = await runner.run();
		const recorded = keyed.finish(result.caseOf({
			Left: ({execution}): KeyedOutcome => ({execution: execution === 'not-run' ? 'not-run' : 'unknown'}),
			Right: ({backendResponse}): KeyedOutcome => backendResponse.kind === 'whole'
				? {status: backendResponse.status, headers: backendResponse.headers, body: backendResponse.body}
				: {execution: 'unknown'},
		}));
		if (result.isRight()) {
			// A refusal is sent at once; a response only after its outcome was handed to the key guard.
			await recorded;
		}

		return this.#deliver({response, call, result});
	}

	async #deliver({response, call, result}: {readonly response: ServerResponse; readonly call: CallState; readonly result: Either<Refusal, CompletedAttempt>}): Promise<string> {
		const {id} = call.options;
		if (result.isLeft()) {
			return this.#refuse({response, id, refusal: result.extract()});
		}

		const {backendResponse, attempt} = result.unsafeCoerce();
		const {quarantine, now} = this.#options;
		if (!quarantine.isEmpty) {
			quarantine.recordAnswer(call.fingerprint());
		}

		if (backendResponse.kind === 'whole') {
			attempt.release('answered');
			const {status, headers, body} = backendResponse;
			sendCompleteResponse({
				response, id, status, headers, body,
			});
		} else {
			if (isUnanswered(response)) {
				response.setHeader(CALL_ID_HEADER, id);
			}

			const forwarded = await backendResponse.forward(response);
			attempt.release(forwarded.isRight() ? 'answered' : 'failed');
			if (forwarded.isLeft()) {
				return this.#recordBrokenResponse({call, detail: forwarded.swap().map(({detail}) => detail).orDefault('')});
			}
		}

		const nowMs = now();
		this.#policies.get(call.options.service.name).latency.record({latencyMs: nowMs - (attempt.sentAtMs ?? nowMs), nowMs});
		return String(backendResponse.status);
	}

	#recordBrokenResponse({call, detail}: {readonly call: CallState; readonly detail: string}): RefusalReason {
		const reason: RefusalReason = call.endedBy === 'caller' ? 'caller-cancelled' : (call.endedBy === 'deadline' ? 'deadline-exceeded' : 'answer-truncated');
		this.#recordRefusal({id: call.options.id, reason, detail});
		return reason;
	}

	#refuse({response, id, refusal}: {readonly response: ServerResponse; readonly id: CallId; readonly refusal: Refusal}): RefusalReason {
		this.#recordRefusal({id, reason: refusal.reason, detail: refusal.detail});
		sendRefusal({response, id, refusal});
		return refusal.reason;
	}

	#recordRefusal({id, reason, detail}: {readonly id: CallId; readonly reason: RefusalReason; readonly detail: string}): void {
		this.#options.counters.refused(reason);
		this.#options.events.add({kind: 'refusal', message: reason, fields: {call: id, detail}});
	}

	#logCall({call, outcome}: {readonly call: CallState; readonly outcome: string}): void {
		const elapsedMs = this.#options.now() - call.options.startedAtMs;
		this.#options.counters.timing('call', elapsedMs);
		this.#options.log(
			'call=%s service=%s server=%s why="%s" waited=%dms retries=%s ended=%s total=%dms',
			call.options.id,
			call.options.service.name,
			call.lastServer ?? '-',
			call.why,
			Math.round(call.waitedMs),
			call.extraAttempts.join(',') || '-',
			outcome,
			Math.round(elapsedMs),
		);
	}
}
