/** One attempt of a call: gets a slot of a backend server, sends the request on a connection that nothing else uses meanwhile, and reports how it ended. */
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
import type {AttemptResponse, AttemptFailure} from './attempt-response.js';
import {toFailedAttempt, toShedAttempt} from './failed-attempt.js';
import type {FailedAttempt} from './failed-attempt.js';
import type {AttemptEnd, PlaceCall, Placement} from './placement.js';

/** Status by which a backend server rejects a request that it has not run. */
const SHED_STATUS = 503;
/** Part of the remaining time that is reserved for the response's way back to the caller, in milliseconds. */
const RESPONSE_RESERVE_MS = 10;

/** Collaborators that all attempts share. */
export interface AttemptDependencies {
	readonly placeCall: PlaceCall;
	/** Whether the service has a backend server that is not among the given ones. */
	readonly hasOtherServer: (options: {readonly service: ServiceName; readonly servers: ReadonlySet<BackendServerName>}) => boolean;
	readonly connections: BackendConnections;
	readonly crashDetector: CrashDetector;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** An attempt that got a response. Its slot is kept until the response was sent to the caller. */
export interface CompletedAttempt {
	readonly backendResponse: AttemptResponse;
	readonly attempt: Attempt;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
	readonly call: CallState;
	readonly dependencies: AttemptDependencies;
	/** Maximum bytes of a response body that are buffered; a larger response is forwarded while it arrives. */
	readonly maxBufferedBytes: number;
	/** Whether to open a new connection instead of reusing one, because existing ones may have stopped delivering data. */
	readonly needsNewConnection: boolean;
	/** Whether another attempt of the call is still running. */
	readonly isHedge: boolean;
}

/** One attempt of a call. */
export class Attempt implements InFlightCall {
	readonly #options: AttemptOptions;
	#exchange: Exchange | undefined;
	#placement: Placement | undefined;
	#isAborted = false;
	/** Ends the wait for a slot when the attempt is aborted. */
	readonly #waitCancellation = new Cancellation();
	#sentAtMs: number | undefined;

	constructor(options: AttemptOptions) {
		this.#options = options;
	}

	/** Slot that the attempt occupies; undefined while it waits for one and after {@link release}. */
	get placement(): Placement | undefined {
		return this.#placement;
	}

	/** Monotonic time at which the request was handed to its connection, in milliseconds; undefined while it waits for a slot. */
	get sentAtMs(): number | undefined {
		return this.#sentAtMs;
	}

	/** Whether the request was in flight when a backend server crashed and has not been cleared since. */
	get isSuspect(): boolean {
		return this.#options.call.isSuspect;
	}

	/** Whether any byte of the request may have been sent. */
	get mayHaveRun(): boolean {
		return this.#exchange?.mayHaveRun === true;
	}

	/** Whether the request was sent and no response head has arrived. */
	get isUnanswered(): boolean {
		return this.#exchange?.mayHaveRun === true && !this.#exchange.hasHead;
	}

	/** Makes the attempt; never rejects. */
	async run(): Promise<Either<FailedAttempt, CompletedAttempt>> {
		const {call} = this.#options;
		const placed = await this.#place();
		if (placed.isLeft()) {
			return Left({
				refusal: placed.extract(), isPlaced: false, retryReason: undefined, usesRetryBudget: false,
			});
		}

		const placement = placed.unsafeCoerce();
		this.#placement = placement;
		if (call.endedBy !== undefined || this.#isAborted) {
			return this.#fail({kind: call.endedBy === 'deadline' ? 'timed-out' : 'cancelled', execution: 'not-run', detail: 'the call ended before the request was sent'});
		}

		return this.#send(placement);
	}

	/** Digest of the request, by which copies of it are recognised. */
	fingerprint(): RequestFingerprint {
		return this.#options.call.fingerprint();
	}

	/** Aborts the attempt and resets its connection, which tells the backend server to stop working on it. */
	abort(failure: Pick<AttemptFailure, 'kind' | 'detail'>): void {
		this.#isAborted = true;
		this.#waitCancellation.cancel();
		this.#exchange?.abort(failure);
	}

	/** Releases the slot. Does nothing without one. */
	release(end: AttemptEnd): void {
		const placement = this.#placement;
		this.#placement = undefined;
		placement?.release(end);
	}

	async #place(): ReturnType<PlaceCall> {
		const {call, dependencies, isHedge} = this.#options;
		const {service, caller, callerSite, deadlineMs} = call.options;
		const options = {
			service, caller, callerSite, deadlineMs, avoidServers: call.avoidServers, avoidDomains: call.avoidDomains, isHedge, cancellation: this.#waitCancellation,
		};
		if (call.isSuspect) {
			// Suspect requests go to different servers: if two were in flight at one crash, the harmless one would be blamed too.
			const isolated = await dependencies.placeCall({...options, avoidServers: new Set([...call.avoidServers, ...dependencies.crashDetector.listServersWithSuspects()])});
			if (isolated.isRight()) {
				return isolated;
			}
		}

		return dependencies.placeCall(options);
	}

	async #send(placement: Placement): Promise<Either<FailedAttempt, CompletedAttempt>> {
		const {call, dependencies, maxBufferedBytes, needsNewConnection} = this.#options;
		const {server, failureDomain} = placement;
		call.waitedMs += placement.waitedMs;
		call.lastServer = server.name;
		call.why = placement.why;
		call.avoidServers.add(server.name);
		call.avoidDomains.add(failureDomain);
		const lease = dependencies.connections.acquire({server, isNew: needsNewConnection});
		if (lease.isLeft()) {
			return this.#fail({kind: 'connect-failed', execution: 'not-run', detail: 'all connections that this instance may open to it are in use'});
		}

		const {id, method, path, headers, body} = call.options;
		const timeLeftMs = (): number => Math.max(1, Math.floor(call.options.deadlineMs - dependencies.now() - RESPONSE_RESERVE_MS));
		const exchange = new Exchange({
			lease: lease.unsafeCoerce(),
			callId: id,
			method,
			path,
			headers: () => listHeaders({
				headers, added: [CALL_ID_HEADER, id, TIMEOUT_HEADER, String(timeLeftMs()), ATTEMPTS_HEADER, '1'],
			}),
			body: body.content,
			maxBufferedBytes,
			now: dependencies.now,
		});
		this.#exchange = exchange;
		if (call.isRead) {
			lease.unsafeCoerce().connection.onSilent = () => {
				exchange.abort({kind: 'silent-connection', detail: 'the connection stopped delivering data'});
			};
		}

		call.sentAttempts += 1;
		const run = dependencies.crashDetector.begin({server: server.name, call: this});
		this.#sentAtMs = dependencies.now();
		exchange.send();
		const result = await exchange.result;
		const isShed = result.map(({status}) => status === SHED_STATUS).orDefault(false);
		call.mayHaveRun ||= exchange.mayHaveRun && !isShed;
		call.hasRun ||= result.swap().map(({execution}) => execution === 'ran').orDefault(false);
		if (!exchange.mayHaveRun) {
			call.sentAttempts -= 1;
		}

		if (result.isRight()) {
			dependencies.crashDetector.recordResponse({server: server.name, openedAtMs: lease.unsafeCoerce().connection.openedAtMs});
			dependencies.crashDetector.resolve(run);
			return this.#handleResponse(result.unsafeCoerce());
		}

		dependencies.crashDetector.end(run);
		return this.#handleFailure(result.extract() as AttemptFailure);
	}

	#handleResponse(backendResponse: AttemptResponse): Either<FailedAttempt, CompletedAttempt> {
		if (backendResponse.status !== SHED_STATUS) {
			return Right({backendResponse, attempt: this});
		}

		if (backendResponse.kind === 'partial') {
			this.abort({kind: 'cancelled', detail: 'the backend server rejected the request with status 503'});
		}

		const server = this.#placement!.server.name;
		const shed = toShedAttempt({server, head: backendResponse});
		this.release(shed.retryReason === 'backend-leaving' ? 'leaving' : 'shed');
		return Left(shed);
	}

	async #handleFailure(failure: AttemptFailure): Promise<Either<FailedAttempt, CompletedAttempt>> {
		const {server} = this.#placement!;
		if ((failure.kind === 'failed' || failure.kind === 'truncated') && failure.execution !== 'not-run') {
			await this.#options.dependencies.crashDetector.checkForCrash(server);
		}

		return this.#fail(failure);
	}

	#fail(failure: AttemptFailure): Either<FailedAttempt, CompletedAttempt> {
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
	// The connection failed, not the backend server, which responds on new connections.
	'silent-connection': 'cancelled',
	truncated: 'failed',
	mismatched: 'failed',
};
