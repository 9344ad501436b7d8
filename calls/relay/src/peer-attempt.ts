/** Forwards a request to another instance, which sends it to a backend server and returns the result. */
import type {BackendConnections} from '@pomelopick/calls.connections';
import {Exchange, listHeaders} from '@pomelopick/calls.forwarding';
import type {AttemptFailure, AttemptResponse} from '@pomelopick/calls.forwarding';
import type {
	BackendServerName, InstanceId, Refusal, RefusalReason,
} from '@pomelopick/core.types';
import {BUFFERED_ANSWER_BYTES, mayBufferFurther} from './buffered-answers.js';
import {classifyAnswer} from './classify-answer.js';
import {
	decodePeerRefusal, encodeForwarded, FORWARDED_PATH, forwardedHeaders, omitForwarded,
} from './forwarded-request.js';
import type {PeerRefusal} from './forwarded-request.js';
import type {ChosenPeer, PeerChoice} from './peer-choice.js';
import type {AttemptFailureResult, AttemptResult} from './attempt-result.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayedRequest} from './relayed-request.js';

/** Time reserved for returning the response, in milliseconds. */
const RETURN_RESERVE_MS = 20;
/** Maximum number of connections to one instance. */
const MAX_CONNECTIONS = 64;
/** Status with which instances of builds that do not forward requests respond to their path. */
const NOT_FOUND = 404;
/** Reasons for which an instance refuses that another one may not have. */
const reasonsOfInstance: ReadonlySet<RefusalReason> = new Set(['no-backend-server', 'instance-full', 'instance-leaving', 'configuration-missing', 'unknown-route']);

/** Failures by which this instance ended an attempt, as its caller left or its deadline passed; they say nothing of the other instance. */
const endsOfThisInstance: ReadonlySet<AttemptFailure['kind']> = new Set(['cancelled', 'timed-out']);

/** Dependencies of all attempts. */
export interface PeerAttemptParts {
	readonly format: RelayFormat;
	readonly peerConnections: BackendConnections;
	readonly peerChoice: PeerChoice;
	/** Why a request may no longer be sent, as the organisations have changed since it was admitted; undefined while it may. */
	readonly identityRefusal: (request: RelayedRequest) => Refusal | undefined;
	/** Version of the active configuration. */
	readonly configurationVersion: () => number;
	/** Processes the notices in the response of a backend server. */
	readonly onAnswerHead: (options: {readonly server: BackendServerName; readonly head: Pick<AttemptResponse, 'status' | 'headers'>; readonly request: {readonly id: string; readonly sentAtMs: number}}) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link PeerAttempt}. */
export interface PeerAttemptOptions {
	readonly request: RelayedRequest;
	readonly peer: ChosenPeer;
	readonly parts: PeerAttemptParts;
}

/** One attempt of a request by way of another instance. */
export class PeerAttempt {
	readonly #options: PeerAttemptOptions;
	#exchange: Exchange | undefined;
	/** Whether the response is that of a backend server. */
	#isFromServer = false;

	constructor(options: PeerAttemptOptions) {
		this.#options = options;
	}

	/** Whether the other instance may have received the request. */
	get mayHaveRun(): boolean {
		return this.#exchange?.mayHaveRun === true;
	}

	/** Aborts the attempt by resetting its connection, upon which the other instance ends its work. */
	abort(failure: Pick<AttemptFailure, 'kind' | 'detail'>): void {
		this.#exchange?.abort(failure);
	}

	/** Makes the attempt. Never rejects. */
	async run(): Promise<AttemptResult> {
		const {peer: {id, peers}, parts: {peerConnections, peerChoice, now}} = this.#options;
		const lease = peerConnections.acquire({
			server: {
				name: nameOf(id), address: peers.address, port: peers.port, connections: MAX_CONNECTIONS,
			},
		});
		if (lease.isLeft()) {
			return this.#toUnsent(`${id}: all connections to this instance are in use`);
		}

		this.#exchange = this.#createExchange(lease.unsafeCoerce());
		this.#exchange.send();
		const result = await this.#exchange.result;
		const attemptResult = result.caseOf<AttemptResult>({
			Left: failure => this.#toFailureResult(failure),
			Right: answer => this.#toResult(answer),
		});
		const isOwnEnd = result.isLeft() && endsOfThisInstance.has(result.extract().kind);
		if (attemptResult.kind === 'answer' || attemptResult.isFinal) {
			peerChoice.recordAble(id);
		} else if (!isOwnEnd) {
			peerChoice.recordUnable({id, nowMs: now()});
		}

		return attemptResult;
	}

	#createExchange(lease: ConstructorParameters<typeof Exchange>[0]['lease']): Exchange {
		const {request, parts} = this.#options;
		const {id, method, path, headers, body, service, caller, route, answerByMs, identity} = request.options;
		const names = parts.format.headers;
		const added = encodeForwarded({
			service, caller, configurationVersion: parts.configurationVersion(), maxServers: Math.max(1, route.maxServers - request.sentTo.size), organisation: identity && (identity.organisation?.name ?? ''),
		});
		const sentAtMs = parts.now();
		return new Exchange({
			lease,
			callId: id,
			idHeader: names.requestId,
			method,
			path: `${FORWARDED_PATH}${path}`,
			mayStart: () => parts.identityRefusal(request) === undefined,
			// The other instance trusts these headers, so those that the caller sent are removed.
			headers: () => listHeaders({
				headers: omitForwarded(headers), added: [names.requestId, id, names.timeLeft, String(Math.max(1, Math.floor(answerByMs - parts.now() - RETURN_RESERVE_MS))), ...added],
			}),
			body: body.content,
			reservation: request.options.reservation,
			maxBufferedBytes: BUFFERED_ANSWER_BYTES,
			mayBufferFurther: bytes => mayBufferFurther({
				request, bytes, sentAtMs, nowMs: parts.now(),
			}),
			onHead: head => {
				const server = head.headers[forwardedHeaders.answeredBy];
				if (typeof server === 'string') {
					this.#isFromServer = true;
					// The header is not meant for the caller.
					Reflect.deleteProperty(head.headers, forwardedHeaders.answeredBy);
					parts.onAnswerHead({server: server as BackendServerName, head, request: {id, sentAtMs}});
				}
			},
			now: parts.now,
		});
	}

	#toResult(answer: AttemptResponse): AttemptResult {
		const {format} = this.#options.parts;
		const header = answer.headers[forwardedHeaders.refusedAfter];
		if (typeof header === 'string' && answer.kind === 'whole') {
			return this.#toRefusalResult(decodePeerRefusal({header, body: new TextDecoder().decode(answer.body)}));
		}

		if (answer.status === NOT_FOUND && !this.#isFromServer) {
			return this.#toUnsent('does not accept forwarded requests');
		}

		const answerClass = classifyAnswer({status: answer.status, headers: answer.headers, names: format.headers});
		if (answerClass === 'deliver' || answerClass === 'server-failure') {
			// The other instance has made all further attempts that are allowed.
			return {kind: 'answer', answer, answerClass: 'deliver'};
		}

		if (answer.kind === 'partial') {
			this.abort({kind: 'cancelled', detail: 'the response is not used'});
		}

		return this.#toFailure({reason: 'answer-mismatched', mayHaveRun: true, detail: `answered ${answer.status} without the stamp of a backend server`});
	}

	#toRefusalResult({refusal: {reason, execution, detail, retryAfterMs}, serversUsed}: PeerRefusal): AttemptFailureResult {
		const mayHaveRun = execution !== 'not-run';
		this.#recordServers(serversUsed);
		return {
			...this.#toFailure({reason, mayHaveRun, detail}), wasSent: serversUsed > 0 || mayHaveRun, isFinal: !reasonsOfInstance.has(reason) && !mayHaveRun, retryAfterMs,
		};
	}

	#toFailureResult({kind, execution, detail}: AttemptFailure): AttemptFailureResult {
		if (execution === 'not-run') {
			return this.#toUnsent(detail);
		}

		this.#recordServers(1);
		return this.#toFailure({reason: kind === 'truncated' ? 'answer-truncated' : 'backend-failed', mayHaveRun: true, detail});
	}

	/** Counts the servers that the other instance sent the request to; their names are not needed. */
	#recordServers(count: number): void {
		const {request: {sentTo}, peer: {id}} = this.#options;
		for (let number = 0; number < count; number += 1) {
			sentTo.add(`${nameOf(id)}, server ${number}` as BackendServerName);
		}
	}

	#toUnsent(detail: string): AttemptFailureResult {
		return {...this.#toFailure({reason: 'no-backend-server', mayHaveRun: false, detail}), wasSent: false, retryReason: 'connect-failed'};
	}

	#toFailure({reason, mayHaveRun, detail}: Pick<AttemptFailureResult, 'reason' | 'mayHaveRun' | 'detail'>): AttemptFailureResult {
		return {
			kind: 'failure', reason, retryReason: 'backend-failed', mayHaveRun, wasSent: true, detail: `by way of ${this.#options.peer.id}: ${detail}`,
		};
	}
}

/** Name under which the connections to an instance are kept. */
function nameOf(id: InstanceId): BackendServerName {
	return `instance ${id}` as BackendServerName;
}
