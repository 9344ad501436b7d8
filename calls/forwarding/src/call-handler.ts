/** Carries one call from arrival to its final answer. */
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
import type {Answered, AttemptParts} from './attempt.js';
import {CALL_ID_HEADER, endToEndHeaders} from './call-headers.js';
import {CallRun} from './call-run.js';
import {CallState} from './call-state.js';
import {BufferBudget} from './held-bytes.js';
import type {BufferReservation} from './held-bytes.js';
import {isKeyed, limitClaim} from './key-claim.js';
import type {KeyedOutcome, KeyedRun, KeyGuard} from './key-guard.js';
import type {PlaceCall} from './placement.js';
import {sendRefusal} from './refuse.js';
import {sendWhole} from './send-whole.js';
import {BUFFERED_BODY_BYTES, readBody} from './request-body.js';
import {ServicePolicies} from './service-policies.js';

const MOST_ATTEMPTS = 3;
/** Bytes of an answer that are held, so that one that breaks off becomes a refusal or is tried again. */
const HELD_ANSWER_BYTES = 32_768;
/** Bytes of a keyed call's body, and of its answer, that are held: copies are compared and answered by the whole. */
const HELD_KEYED_BYTES = 8_388_608;

/** Options of {@link CallHandler}. */
export interface CallHandlerOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly findSite: (address: string) => SiteName | undefined;
	readonly placeCall: PlaceCall;
	readonly connections: BackendConnections;
	readonly quarantine: Quarantine;
	readonly deathWatch: CrashDetector;
	/** Runs keyed calls at most once; absent: keys are passed on only. */
	readonly keyGuard?: KeyGuard;
	readonly limits: CallLimits;
	/** Whether this instance is about to stop and takes no new calls. */
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

interface BeginOptions {
	readonly options: HandleCallOptions;
	readonly id: CallId;
	readonly admitted: AdmittedCall;
	readonly held: BufferReservation;
}

interface CarryOptions {
	readonly response: ServerResponse;
	readonly call: CallState;
	readonly run: CallRun;
}

/** Carries calls. Every call gets exactly one final answer. */
export class CallHandler {
	readonly #options: CallHandlerOptions;
	readonly #parts: AttemptParts;
	readonly #policies: ServicePolicies;
	readonly #held: BufferBudget;
	#inProgress = 0;

	constructor(options: CallHandlerOptions) {
		const {placeCall, connections, deathWatch, now, currentSet} = options;
		this.#options = options;
		this.#held = new BufferBudget({most: options.limits.heldBytes});
		this.#parts = {
			placeCall,
			hasServerBesides: ({service, servers}) => (currentSet()?.backendServers ?? []).some(server => server.service === service && !servers.has(server.name)),
			connections,
			deathWatch,
			now,
		};
		this.#policies = new ServicePolicies({now});
	}

	/** Calls in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Carries one call; resolves after its final answer was sent. Never rejects. */
	async handle(options: HandleCallOptions): Promise<void> {
		const {request, response, serviceName} = options;
		const {currentSet, limits, isLeaving} = this.#options;
		const id = randomUUID() as CallId;
		const admitted = admitCall({
			currentSet, limits, isLeaving, inProgress: this.#inProgress, headers: request.headers, serviceName,
		});
		if (admitted.isLeft()) {
			this.#refuse({response, id, refusal: limitClaim({request, refusal: admitted.extract()})});
			return;
		}

		this.#inProgress += 1;
		const held = this.#held.open();
		try {
			await this.#begin({
				options, id, admitted: admitted.unsafeCoerce(), held,
			});
		} finally {
			this.#inProgress -= 1;
			held.release();
		}
	}

	async #begin({options: {request, response, path}, id, admitted: {service, demands}, held}: BeginOptions): Promise<void> {
		const {now, findSite, limits} = this.#options;
		const startedAtMs = now();
		const timeoutMs = demands.timeoutMs ?? service.defaultTimeoutMs;
		const body = await readBody({
			request, mostBytes: limits.bodyBytes, heldBytes: isKeyed(request) ? HELD_KEYED_BYTES : BUFFERED_BODY_BYTES, timeoutMs, tryHold: held.tryTake,
		});
		if (body.isLeft()) {
			this.#refuse({response, id, refusal: limitClaim({request, refusal: body.extract()})});
			return;
		}

		const caller = request.socket.remoteAddress ?? '';
		const call = new CallState({
			id,
			service,
			method: request.method ?? 'GET',
			path,
			headers: endToEndHeaders(request.headers),
			body: body.unsafeCoerce(),
			key: isKeyed(request) ? demands.key : undefined,
			caller,
			callerSite: findSite(caller),
			startedAtMs,
			deadlineMs: startedAtMs + timeoutMs,
			mostAttempts: Math.min(MOST_ATTEMPTS, demands.attempts ?? MOST_ATTEMPTS),
		});
		await this.#carryWithin({response, call});
	}

	/** Carries a call within its deadline and while its caller stays. */
	async #carryWithin({response, call}: Omit<CarryOptions, 'run'>): Promise<void> {
		const {quarantine, counters, now} = this.#options;
		const policy = this.#policies.of(call.options.service.name);
		policy.budget.noteCall();
		const run = new CallRun({
			call, parts: this.#parts, policy, quarantine, counters, heldBytes: call.options.key === undefined ? HELD_ANSWER_BYTES : HELD_KEYED_BYTES,
		});
		const timer = setTimeout(() => {
			run.end('deadline');
		}, Math.max(1, call.options.deadlineMs - now()));
		response.once('close', () => {
			if (!response.writableFinished) {
				run.end('caller');
			}
		});
		const outcome = await this.#carry({response, call, run});
		clearTimeout(timer);
		this.#logCall({call, outcome});
	}

	async #carry({response, call, run}: CarryOptions): Promise<string> {
		const {quarantine, keyGuard} = this.#options;
		const {id, key} = call.options;
		if (!quarantine.isEmpty && quarantine.statusOf(call.fingerprint()) === 'convicted') {
			const refusal: Refusal = {reason: 'request-quarantined', execution: 'not-run', detail: 'the request is taken to crash backend servers'};
			return this.#refuse({response, id, refusal: limitClaim({request: response.req, refusal})});
		}

		if (!keyGuard || key === undefined) {
			return this.#deliver({response, call, result: await run.run()});
		}

		const begun = await keyGuard.begin({
			key, service: call.options.service.name, fingerprint: call.fingerprint(), deadlineMs: call.options.deadlineMs, signal: call.ended.signal,
		});
		return begun.isLeft()
			? this.#refuse({response, id, refusal: limitClaim({request: response.req, refusal: begun.extract()})})
			: this.#carryKeyed({
				response, call, run, keyed: begun.unsafeCoerce(),
			});
	}

	async #carryKeyed({response, call, run, keyed}: CarryOptions & {readonly keyed: KeyedRun}): Promise<string> {
		if (keyed.kind === 'replay') {
			const {status, headers, body} = keyed.outcome;
			sendWhole({
				response, id: call.options.id, status, headers, body,
			});
			return `replayed ${status}`;
		}

		const result = await run.run();
		const recorded = keyed.finish(result.caseOf({
			Left: ({execution}): KeyedOutcome => ({execution: execution === 'not-run' ? 'not-run' : 'unknown'}),
			Right: ({answer}): KeyedOutcome => answer.kind === 'whole' ? {status: answer.status, headers: answer.headers, body: answer.body} : {execution: 'unknown'},
		}));
		if (result.isRight()) {
			// A refusal goes out at once; an answer only after it was recorded.
			await recorded;
		}

		return this.#deliver({response, call, result});
	}

	async #deliver({response, call, result}: {readonly response: ServerResponse; readonly call: CallState; readonly result: Either<Refusal, Answered>}): Promise<string> {
		const {id} = call.options;
		if (result.isLeft()) {
			return this.#refuse({response, id, refusal: result.extract()});
		}

		const {answer, attempt} = result.unsafeCoerce();
		const {quarantine, now} = this.#options;
		if (!quarantine.isEmpty) {
			quarantine.clear(call.fingerprint());
		}

		if (answer.kind === 'whole') {
			attempt.release('answered');
			const {status, headers, body} = answer;
			sendWhole({
				response, id, status, headers, body,
			});
		} else {
			response.setHeader(CALL_ID_HEADER, id);
			const forwarded = await answer.forward(response);
			attempt.release(forwarded.isRight() ? 'answered' : 'failed');
			if (forwarded.isLeft()) {
				return this.#noteCut({call, detail: forwarded.swap().map(({detail}) => detail).orDefault('')});
			}
		}

		const nowMs = now();
		this.#policies.of(call.options.service.name).latency.record({latencyMs: nowMs - (attempt.sentAtMs ?? nowMs), nowMs});
		return String(answer.status);
	}

	#noteCut({call, detail}: {readonly call: CallState; readonly detail: string}): RefusalReason {
		const reason: RefusalReason = call.endedBy === 'caller' ? 'caller-cancelled' : (call.endedBy === 'deadline' ? 'deadline-exceeded' : 'answer-truncated');
		this.#note({id: call.options.id, reason, detail});
		return reason;
	}

	#refuse({response, id, refusal}: {readonly response: ServerResponse; readonly id: CallId; readonly refusal: Refusal}): RefusalReason {
		this.#note({id, reason: refusal.reason, detail: refusal.detail});
		sendRefusal({response, id, refusal});
		return refusal.reason;
	}

	#note({id, reason, detail}: {readonly id: CallId; readonly reason: RefusalReason; readonly detail: string}): void {
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
