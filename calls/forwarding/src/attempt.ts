/** One attempt of a call: placed, sent over a connection of its own, and accounted for. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	BackendServerName, Refusal, RetryReason, ServiceName,
} from '@pomelopick/core.types';
import type {BackendConnections} from '@pomelopick/calls.connections';
import type {CrashDetector, InFlightCall, RequestFingerprint} from '@pomelopick/calls.quarantine';
import {
	ATTEMPTS_HEADER, CALL_ID_HEADER, listHeaders, TIMEOUT_HEADER,
} from './call-headers.js';
import type {CallState} from './call-state.js';
import {Cancellation} from './cancellation.js';
import {Exchange} from './exchange.js';
import type {AttemptAnswer, AttemptFailure} from './attempt-answer.js';
import {toFailedAttempt, toShedAttempt} from './failed-attempt.js';
import type {FailedAttempt} from './failed-attempt.js';
import type {AttemptEnd, PlaceCall, Placement} from './placement.js';

const SHED_STATUS = 503;
/** Part of the time left that is kept for the way back, in milliseconds. */
const RETURN_RESERVE_MS = 10;

/** What attempts need. */
export interface AttemptParts {
	readonly placeCall: PlaceCall;
	/** Whether the service has a backend server besides those. */
	readonly hasServerBesides: (options: {readonly service: ServiceName; readonly servers: ReadonlySet<BackendServerName>}) => boolean;
	readonly connections: BackendConnections;
	readonly deathWatch: CrashDetector;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** An answer, held with its placement until it was sent on. */
export interface Answered {
	readonly answer: AttemptAnswer;
	readonly attempt: Attempt;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
	readonly call: CallState;
	readonly parts: AttemptParts;
	/** Bytes of an answer that are held before the first of them is sent on. */
	readonly heldBytes: number;
	/** Whether opened connections are not trusted, because one of them may have gone silent. */
	readonly needsNewConnection: boolean;
	/** Whether it is made beside another attempt that still runs. */
	readonly isHedge: boolean;
}

/** One attempt. */
export class Attempt implements InFlightCall {
	readonly #options: AttemptOptions;
	#exchange: Exchange | undefined;
	#placement: Placement | undefined;
	#isGivenUp = false;
	/** Ends the wait for a slot when the attempt is given up. */
	readonly #waiting = new Cancellation();
	#sentAtMs: number | undefined;

	constructor(options: AttemptOptions) {
		this.#options = options;
	}

	/** Server that the attempt was sent to, once it was. */
	get placement(): Placement | undefined {
		return this.#placement;
	}

	/** Monotonic time at which the request was handed to its connection, in milliseconds; undefined while it waits for a slot. */
	get sentAtMs(): number | undefined {
		return this.#sentAtMs;
	}

	get isSuspect(): boolean {
		return this.#options.call.isSuspect;
	}

	get mayHaveRun(): boolean {
		return this.#exchange?.mayHaveRun === true;
	}

	/** Whether the request was sent and nothing has come back. */
	get isUnanswered(): boolean {
		return this.#exchange?.mayHaveRun === true && !this.#exchange.hasHead;
	}

	/** Makes the attempt; never rejects. */
	async run(): Promise<Either<FailedAttempt, Answered>> {
		const {call} = this.#options;
		const placed = await this.#place();
		if (placed.isLeft()) {
			return Left({
				refusal: placed.extract(), isPlaced: false, retryReason: undefined, isCharged: false,
			});
		}

		const placement = placed.unsafeCoerce();
		this.#placement = placement;
		if (call.endedBy !== undefined || this.#isGivenUp) {
			return this.#fail({kind: call.endedBy === 'deadline' ? 'timed-out' : 'cancelled', execution: 'not-run', detail: 'the call ended before it was sent'});
		}

		return this.#send(placement);
	}

	fingerprint(): RequestFingerprint {
		return this.#options.call.fingerprint();
	}

	/** Gives the attempt up; the backend server's work is cancelled by closing its connection. */
	giveUp(failure: Pick<AttemptFailure, 'kind' | 'detail'>): void {
		this.#isGivenUp = true;
		this.#waiting.cancel();
		this.#exchange?.abort(failure);
	}

	/** Gives the slot back. */
	release(end: AttemptEnd): void {
		const placement = this.#placement;
		this.#placement = undefined;
		placement?.release(end);
	}

	async #place(): ReturnType<PlaceCall> {
		const {call, parts, isHedge} = this.#options;
		const {service, caller, callerSite, deadlineMs} = call.options;
		const options = {
			service, caller, callerSite, deadlineMs, avoidServers: call.avoidServers, avoidDomains: call.avoidDomains, isHedge, cancellation: this.#waiting,
		};
		if (call.isSuspect) {
			// Suspects are kept apart, so that one of them does not make another look guilty.
			const apart = await parts.placeCall({...options, avoidServers: new Set([...call.avoidServers, ...parts.deathWatch.listServersWithSuspects()])});
			if (apart.isRight()) {
				return apart;
			}
		}

		return parts.placeCall(options);
	}

	async #send(placement: Placement): Promise<Either<FailedAttempt, Answered>> {
		const {call, parts, heldBytes, needsNewConnection} = this.#options;
		const {server, failureDomain} = placement;
		call.waitedMs += placement.waitedMs;
		call.lastServer = server.name;
		call.why = placement.why;
		call.avoidServers.add(server.name);
		call.avoidDomains.add(failureDomain);
		const lease = parts.connections.acquire({server, isNew: needsNewConnection});
		if (lease.isLeft()) {
			return this.#fail({kind: 'connect-failed', execution: 'not-run', detail: 'all connections that it may have are in use'});
		}

		const {id, method, path, headers, body} = call.options;
		const timeLeftMs = call.options.deadlineMs - parts.now();
		const exchange = new Exchange({
			lease: lease.unsafeCoerce(),
			callId: id,
			method,
			path,
			headers: listHeaders({
				headers, added: [CALL_ID_HEADER, id, TIMEOUT_HEADER, String(Math.max(1, Math.floor(timeLeftMs - RETURN_RESERVE_MS))), ATTEMPTS_HEADER, '1'],
			}),
			body: body.content,
			heldBytes,
			now: parts.now,
		});
		this.#exchange = exchange;
		if (call.isRead) {
			lease.unsafeCoerce().connection.onSilent = () => {
				exchange.abort({kind: 'silent-connection', detail: 'the connection went silent'});
			};
		}

		call.sentAttempts += 1;
		parts.deathWatch.trackCall({server: server.name, call: this});
		this.#sentAtMs = parts.now();
		exchange.send();
		const result = await exchange.result;
		const isShed = result.map(({status}) => status === SHED_STATUS).orDefault(false);
		call.mayHaveRun ||= exchange.mayHaveRun && !isShed;
		call.hasRun ||= result.swap().map(({execution}) => execution === 'ran').orDefault(false);
		if (!exchange.mayHaveRun) {
			call.sentAttempts -= 1;
		}

		const settled = result.isRight() ? this.#onAnswer(result.unsafeCoerce()) : await this.#onFailure(result.extract() as AttemptFailure);
		parts.deathWatch.untrackCall({server: server.name, call: this});
		return settled;
	}

	#onAnswer(answer: AttemptAnswer): Either<FailedAttempt, Answered> {
		if (answer.status !== SHED_STATUS) {
			return Right({answer, attempt: this});
		}

		if (answer.kind === 'partial') {
			this.giveUp({kind: 'cancelled', detail: 'shed'});
		}

		const server = this.#placement!.server.name;
		const shed = toShedAttempt({server, answer});
		this.release(shed.retryReason === 'backend-leaving' ? 'leaving' : 'shed');
		return Left(shed);
	}

	async #onFailure(failure: AttemptFailure): Promise<Either<FailedAttempt, Answered>> {
		const {server} = this.#placement!;
		if ((failure.kind === 'failed' || failure.kind === 'truncated') && failure.execution !== 'not-run') {
			await this.#options.parts.deathWatch.checkForCrash(server);
		}

		return this.#fail(failure);
	}

	#fail(failure: AttemptFailure): Either<FailedAttempt, Answered> {
		const server = this.#placement!.server.name;
		this.release(attemptEnds[failure.kind]);
		return Left(toFailedAttempt({server, failure}));
	}
}

const attemptEnds: Record<AttemptFailure['kind'], AttemptEnd> = {
	'connect-failed': 'connect-failed',
	failed: 'failed',
	'timed-out': 'timed-out',
	cancelled: 'cancelled',
	// The connection was at fault, not the backend server, which answers on new ones.
	'silent-connection': 'cancelled',
	truncated: 'failed',
	mismatched: 'failed',
};
