/** Carries one call from arrival to its final answer. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import type {Dispatcher} from 'undici';
import {EitherAsync} from 'purify-ts';
import {
	toProblemDocument, PROBLEM_MEDIA_TYPE,
} from '@pomelopick/core.types';
import type {
	BackendServerName, CallId, ConfigurationSet, FailureDomainName, Refusal, RefusalReason, RetryReason, Service, SiteName,
} from '@pomelopick/core.types';
import type {Counters, EventRecord, Log} from '@pomelopick/core.telemetry';
import {sendAttempt} from './attempt.js';
import type {AttemptAnswer, AttemptFailure} from './attempt.js';
import {
	CALL_ID_HEADER, DRAINING_HEADER, TIMEOUT_HEADER, endToEndHeaders, readTimeoutMs,
} from './call-headers.js';
import type {KeyedOutcome, KeyGuard} from './key-guard.js';
import {
	MOST_KEYED_BODY_BYTES, readKeyedCall, readWhole, sendReplay,
} from './keyed-call.js';
import {isKeyed, limitClaim} from './key-claim.js';
import type {AttemptEnd, PlaceCall, Placement} from './placement.js';

const MOST_ATTEMPTS = 3;
const SHED_STATUS = 503;
const MILLISECONDS_PER_SECOND = 1000;
const SHED_RETRY_AFTER_MS = 1000;

/** Options of {@link CallHandler}. */
export interface CallHandlerOptions {
	readonly currentSet: () => ConfigurationSet | undefined;
	readonly findSite: (address: string) => SiteName | undefined;
	readonly placeCall: PlaceCall;
	readonly dispatcher: Dispatcher;
	readonly counters: Counters;
	readonly events: EventRecord;
	readonly log: Log;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Runs calls that bring a key at most once. */
	readonly keyGuard?: KeyGuard;
}

/** Options of {@link CallHandler.handle}. */
export interface HandleCallOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly serviceName: string;
	/** Path and query that the backend server receives. */
	readonly path: string;
}

interface CarryOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly path: string;
	readonly call: CallState;
}

interface CallState {
	readonly id: CallId;
	readonly service: Service;
	readonly startedAtMs: number;
	readonly deadlineMs: number;
	readonly cancelled: AbortController;
	readonly avoidServers: Set<BackendServerName>;
	readonly avoidDomains: Set<FailureDomainName>;
	readonly retries: RetryReason[];
	waitedMs: number;
	lastServer: BackendServerName | undefined;
	why: string;
	/** Body of a keyed call, read whole before it is sent. */
	body?: Uint8Array;
	/** Records the end of a keyed call. */
	finish?: (outcome: KeyedOutcome) => Promise<void>;
}

interface AnswerOptions {
	readonly call: CallState;
	readonly placement: Placement;
	readonly response: ServerResponse;
	readonly answer: AttemptAnswer;
}

type AttemptResult =
	| {readonly kind: 'final'; readonly outcome: string}
	| {readonly kind: 'refuse'; readonly refusal: Refusal}
	| {readonly kind: 'retry'; readonly reason: RetryReason; readonly refusal: Refusal};

/** Carries calls. Every call gets exactly one final answer. */
export class CallHandler {
	readonly #options: CallHandlerOptions;
	#inProgress = 0;

	constructor(options: CallHandlerOptions) {
		this.#options = options;
	}

	/** Calls in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Carries one call; resolves after its final answer was sent. Never rejects. */
	async handle({request, response, serviceName, path}: HandleCallOptions): Promise<void> {
		this.#inProgress += 1;
		try {
			const id = randomUUID() as CallId;
			const service = this.#options.currentSet()?.services.find(({name}) => name === serviceName);
			const timeoutMs = readTimeoutMs(request.headers);
			if (!service) {
				this.#refuse({response, id, refusal: limitClaim({request, refusal: this.#unknownService(serviceName)})});
				return;
			}

			if (Number.isNaN(timeoutMs)) {
				const found = JSON.stringify(request.headers[TIMEOUT_HEADER]);
				const refusal: Refusal = {reason: 'bad-request', execution: 'not-run', detail: `${TIMEOUT_HEADER}: expected whole milliseconds, found ${found}`};
				this.#refuse({response, id, refusal: limitClaim({request, refusal})});
				return;
			}

			const call = this.#begin({id, service, timeoutMs});
			if (await this.#admitKeyed({
				request, response, path, call,
			})) {
				await this.#carry({
					request, response, path, call,
				});
			}
		} finally {
			this.#inProgress -= 1;
		}
	}

	#unknownService(serviceName: string): Refusal {
		return this.#options.currentSet()
			? {reason: 'unknown-service', execution: 'not-run', detail: `no service is named ${JSON.stringify(serviceName)}`}
			: {
				reason: 'configuration-missing', execution: 'not-run', detail: 'no configuration has arrived yet', retryAfterMs: SHED_RETRY_AFTER_MS,
			};
	}

	#begin({id, service, timeoutMs}: {readonly id: CallId; readonly service: Service; readonly timeoutMs: number | undefined}): CallState {
		const startedAtMs = this.#options.now();
		return {
			id,
			service,
			startedAtMs,
			deadlineMs: startedAtMs + (timeoutMs ?? service.defaultTimeoutMs),
			cancelled: new AbortController(),
			avoidServers: new Set(),
			avoidDomains: new Set(),
			retries: [],
			waitedMs: 0,
			lastServer: undefined,
			why: '',
		};
	}

	/** Asks the key guard about a keyed call; false when the call has got its answer already. */
	async #admitKeyed({request, response, path, call}: CarryOptions): Promise<boolean> {
		const {keyGuard} = this.#options;
		response.once('close', () => {
			if (!response.writableFinished) {
				call.cancelled.abort();
			}
		});
		if (!keyGuard || !isKeyed(request)) {
			return true;
		}

		const read = await readKeyedCall({request, service: call.service.name, path});
		const begun = await EitherAsync.liftEither(read).chain(async ({key, fingerprint}) => keyGuard.begin({
			key, service: call.service.name, fingerprint, deadlineMs: call.deadlineMs, signal: call.cancelled.signal,
		})).run();
		if (begun.isLeft()) {
			const refusal = limitClaim({request, refusal: begun.extract()});
			this.#refuse({response, id: call.id, refusal});
			this.#logCall({call, outcome: refusal.reason});
			return false;
		}

		const run = begun.unsafeCoerce();
		if (run.kind === 'replay') {
			sendReplay({response, id: call.id, outcome: run.outcome});
			this.#logCall({call, outcome: `replayed ${run.outcome.status}`});
			return false;
		}

		call.body = read.unsafeCoerce().body;
		call.finish = run.finish;
		return true;
	}

	async #carry({request, response, path, call}: CarryOptions): Promise<void> {
		const isRepeatable = (request.method === 'GET' || request.method === 'HEAD') && !hasBody(request);
		for (let attempt = 1; ; attempt += 1) {
			const result = await this.#attempt({
				request, response, path, call,
			});
			if (result.kind === 'final') {
				this.#logCall({call, outcome: result.outcome});
				return;
			}

			const mayRetry = result.kind === 'retry' && attempt < MOST_ATTEMPTS && (isRepeatable || (result.refusal.execution === 'not-run' && !hasBody(request)));
			if (!mayRetry) {
				await call.finish?.({execution: result.refusal.execution === 'not-run' ? 'not-run' : 'unknown'});
				this.#refuse({response, id: call.id, refusal: result.refusal});
				this.#logCall({call, outcome: result.refusal.reason});
				return;
			}

			call.retries.push(result.reason);
			this.#options.counters.retried(result.reason);
		}
	}

	async #attempt({request, response, path, call}: CarryOptions): Promise<AttemptResult> {
		const {placeCall, dispatcher, now, findSite} = this.#options;
		const caller = request.socket.remoteAddress ?? '';
		const placed = await placeCall({
			service: call.service, caller, callerSite: findSite(caller), deadlineMs: call.deadlineMs, avoidServers: call.avoidServers, avoidDomains: call.avoidDomains, signal: call.cancelled.signal,
		});
		if (placed.isLeft()) {
			return {kind: 'refuse', refusal: placed.extract()};
		}

		const placement = placed.unsafeCoerce();
		call.waitedMs += placement.waitedMs;
		call.lastServer = placement.server.name;
		call.why = placement.why;
		const timeLeftMs = call.deadlineMs - now();
		if (timeLeftMs <= 0) {
			placement.release('cancelled');
			return {kind: 'refuse', refusal: {reason: 'deadline-exceeded', execution: 'not-run', detail: 'the deadline passed before the call was sent'}};
		}

		const sent = await sendAttempt({
			dispatcher,
			server: placement.server,
			method: request.method ?? 'GET',
			path,
			headers: {...endToEndHeaders(request.headers), [CALL_ID_HEADER]: call.id, [TIMEOUT_HEADER]: String(Math.floor(timeLeftMs))},
			body: call.body ?? (hasBody(request) ? request : undefined),
			cancelled: call.cancelled.signal,
			timeoutMs: timeLeftMs,
		});
		return sent.isLeft()
			? this.#onFailure({call, placement, failure: sent.extract()})
			: this.#onAnswer({
				call, placement, response, answer: sent.unsafeCoerce(),
			});
	}

	#onFailure({call, placement, failure}: {readonly call: CallState; readonly placement: Placement; readonly failure: AttemptFailure}): AttemptResult {
		const detail = `${placement.server.name}: ${failure.detail}`;
		call.avoidServers.add(placement.server.name);
		call.avoidDomains.add(placement.failureDomain);
		switch (failure.kind) {
			case 'connect-failed': {
				placement.release('connect-failed');
				return {kind: 'retry', reason: 'connect-failed', refusal: {reason: 'connect-failed', execution: 'not-run', detail}};
			}

			case 'timed-out': {
				placement.release('timed-out');
				return {kind: 'refuse', refusal: {reason: 'deadline-exceeded', execution: 'unknown', detail}};
			}

			case 'cancelled': {
				placement.release('cancelled');
				return {kind: 'refuse', refusal: {reason: 'caller-cancelled', execution: 'unknown', detail}};
			}

			default: {
				placement.release('failed');
				return {kind: 'retry', reason: 'backend-failed', refusal: {reason: 'backend-failed', execution: 'unknown', detail}};
			}
		}
	}

	async #onAnswer({call, placement, response, answer}: AnswerOptions): Promise<AttemptResult> {
		if (answer.status === SHED_STATUS) {
			answer.body.resume();
			call.avoidServers.add(placement.server.name);
			const isLeaving = answer.headers[DRAINING_HEADER] === 'true';
			placement.release(isLeaving ? 'leaving' : 'shed');
			return {
				kind: 'retry', reason: isLeaving ? 'backend-leaving' : 'backend-shed', refusal: {
					reason: 'backend-shed', execution: 'not-run', detail: `${placement.server.name} has no room`, retryAfterMs: SHED_RETRY_AFTER_MS,
				},
			};
		}

		if (call.finish) {
			return this.#onKeyedAnswer({
				call, placement, response, answer, finish: call.finish,
			});
		}

		let end: AttemptEnd = 'answered';
		try {
			response.writeHead(answer.status, {...endToEndHeaders(answer.headers), [CALL_ID_HEADER]: call.id});
			await pipeline(answer.body, response);
			return {kind: 'final', outcome: String(answer.status)};
		} catch (error) {
			// The answer broke off after its head was sent: the connection is cut so that no part passes for the whole.
			end = call.cancelled.signal.aborted ? 'cancelled' : 'failed';
			const reason: RefusalReason = end === 'cancelled' ? 'caller-cancelled' : 'answer-truncated';
			this.#options.counters.refused(reason);
			this.#options.events.add({kind: 'refusal', message: reason, fields: {call: call.id, detail: (error as Error).message}});
			response.destroy();
			return {kind: 'final', outcome: reason};
		} finally {
			placement.release(end);
		}
	}

	/** Hands the whole answer of a keyed call over before it is sent. */
	async #onKeyedAnswer({call, placement, response, answer, finish}: AnswerOptions & {readonly finish: NonNullable<CallState['finish']>}): Promise<AttemptResult> {
		const read = await readWhole({stream: answer.body, mostBytes: MOST_KEYED_BODY_BYTES});
		if (read.isLeft()) {
			placement.release(call.cancelled.signal.aborted ? 'cancelled' : 'failed');
			const execution = read.extract() === 'too-large' ? 'ran' : 'unknown';
			return {kind: 'refuse', refusal: {reason: 'answer-truncated', execution, detail: `${placement.server.name}: the answer's body is ${String(read.extract())}`}};
		}

		placement.release('answered');
		const body = read.unsafeCoerce();
		const headers = endToEndHeaders(answer.headers);
		await finish({status: answer.status, headers, body});
		response.writeHead(answer.status, {...headers, [CALL_ID_HEADER]: call.id});
		response.end(body);
		return {kind: 'final', outcome: String(answer.status)};
	}

	#refuse({response, id, refusal}: {readonly response: ServerResponse; readonly id: CallId; readonly refusal: Refusal}): void {
		this.#options.counters.refused(refusal.reason);
		this.#options.events.add({kind: 'refusal', message: refusal.reason, fields: {call: id, detail: refusal.detail}});
		sendRefusal({response, id, refusal});
	}

	#logCall({call, outcome}: {readonly call: CallState; readonly outcome: string}): void {
		const elapsedMs = this.#options.now() - call.startedAtMs;
		this.#options.counters.timing('call', elapsedMs);
		this.#options.log(
			'call=%s service=%s server=%s why="%s" waited=%dms retries=%s ended=%s total=%dms',
			call.id,
			call.service.name,
			call.lastServer ?? '-',
			call.why,
			Math.round(call.waitedMs),
			call.retries.join(',') || '-',
			outcome,
			Math.round(elapsedMs),
		);
	}
}

/** Sends a refusal as a problem document. */
export function sendRefusal({response, id, refusal}: {readonly response: ServerResponse; readonly id: CallId; readonly refusal: Refusal}): void {
	const document = toProblemDocument({refusal, callId: id});
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	response.writeHead(document.status, {
		'content-type': PROBLEM_MEDIA_TYPE,
		[CALL_ID_HEADER]: id,
		...(refusal.retryAfterMs !== undefined && {'retry-after': String(Math.ceil(refusal.retryAfterMs / MILLISECONDS_PER_SECOND))}),
	});
	response.end(JSON.stringify(document));
}

function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}
