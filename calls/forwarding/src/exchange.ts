/** Sends one request to a backend server and receives its response, on a connection that nothing else uses meanwhile. */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';
import {
	Either, EitherAsync, Left, Right,
} from 'purify-ts';
import type {Execution} from '@pomelopick/core.types';
import {ResponseForwarder} from './response-forwarder.js';
import type {
	ResponseHead, AttemptResponse, AttemptFailure, AttemptFailureKind,
} from './attempt-response.js';
import {isUnanswered} from './is-unanswered.js';
import {endToEndHeaders} from './call-headers.js';
import type {ExchangeOptions} from './exchange-options.js';
import {findMismatch, readFraming} from './response-head.js';

/** One request and its response. The result is resolved once. */
export class Exchange implements Dispatcher.DispatchHandler {
	/** Resolves with the response or the failure; never rejects. */
	readonly result: Promise<Either<AttemptFailure, AttemptResponse>>;
	readonly #options: ExchangeOptions;
	#resolve!: (result: Either<AttemptFailure, AttemptResponse>) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#startedAtMs: number | undefined;
	#aborted: AttemptFailure | undefined;
	#isReleased = false;
	/** Whether the request was given to the library on a connection that was open before; it may then be given to it once more. */
	#isReopenable = false;
	#interimResponses = 0;
	#head: ResponseHead | undefined;
	#bufferedPieces: Uint8Array[] = [];
	#bufferedBytes = 0;
	#forwarder: ResponseForwarder | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.result = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Whether any byte of the request may have been sent. */
	get mayHaveRun(): boolean {
		return this.#controller !== undefined;
	}

	/** Monotonic time at which a connection took the request, in milliseconds; undefined while it waits for one. */
	get startedAtMs(): number | undefined {
		return this.#startedAtMs;
	}

	/** Whether the head of a response has arrived. */
	get hasHead(): boolean {
		return this.#head !== undefined;
	}

	/** Sends the request, once the connection is open. */
	send(): void {
		const {connection} = this.#options.lease;
		connection.connectsByItself = false;
		if (connection.isOpen) {
			this.#isReopenable = true;
			this.#dispatch();
		} else {
			void this.#connectAndDispatch();
		}
	}

	/** Aborts the request and resets its connection, which tells the backend server to stop working on it. */
	abort({kind, detail}: {readonly kind: AttemptFailureKind; readonly detail: string}): void {
		if (this.#aborted !== undefined || this.#isReleased) {
			return;
		}

		this.#aborted = {kind, detail, execution: this.#execution};
		this.#release({isReusable: false});
		this.#controller?.abort(new errors.RequestAbortedError(detail));
		this.#fail(this.#aborted);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#aborted) {
			// Aborted before the connection was ready: nothing has been written, and nothing will be.
			controller.abort(new errors.RequestAbortedError(this.#aborted.detail));
			return;
		}

		this.#controller = controller;
		this.#startedAtMs = this.#options.now();
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		this.#recordActivity();
		if (status < 200) {
			this.#recordInterim();
			return;
		}

		const {method, acceptsUnframed = false, onHead} = this.#options;
		const head = {status, headers: endToEndHeaders(headers)};
		onHead?.(head);
		const mismatch = findMismatch({...this.#options, headers, wasUsed: this.#options.lease.connection.wasUsed});
		if (mismatch !== undefined) {
			this.abort({kind: 'mismatched', detail: mismatch});
			return;
		}

		this.#head = head;
		const {hasBody, isUnframed} = readFraming({method, status, headers});
		this.#options.lease.connection.isUnframed = isUnframed;
		if (isUnframed && !acceptsUnframed) {
			this.abort({kind: 'truncated', detail: 'the response has neither a content length nor chunked encoding, so a truncated body would look complete'});
			return;
		}

		if (hasBody && Number(headers['content-length'] ?? 0) > this.#options.maxBufferedBytes) {
			this.#startForwarding();
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, piece: Uint8Array): void {
		this.#recordActivity();
		if (this.#forwarder) {
			this.#forwarder.write(piece);
			return;
		}

		this.#bufferedPieces.push(piece);
		this.#bufferedBytes += piece.length;
		if (this.#bufferedBytes > this.#options.maxBufferedBytes) {
			this.#startForwarding();
		}
	}

	onResponseEnd(): void {
		if (this.#options.lease.connection.isUnframed) {
			// Pending socket events must be handled first: they show whether the connection was closed or reset.
			setImmediate(() => {
				this.#complete();
			});
			return;
		}

		this.#complete();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		if (this.#aborted) {
			return;
		}

		if (this.#isReopenable && !this.mayHaveRun && !this.#options.lease.connection.client.destroyed) {
			// The connection had been closed, and nothing was written: it is opened, and the headers are made again.
			this.#isReopenable = false;
			void this.#connectAndDispatch();
			return;
		}

		this.#failBy(error);
	}

	#failBy(error: Error & {code?: string}): void {
		this.#release({isReusable: false});
		const detail = `${error.code ?? error.name}: ${error.message}`;
		const kind = this.#head ? 'truncated' : (this.mayHaveRun ? 'failed' : 'connect-failed');
		this.#fail({
			kind, execution: this.#execution, detail, ...(lostConnectionCodes.has(error.code ?? '') && {isConnectionLost: true}),
		});
	}

	async #connectAndDispatch(): Promise<void> {
		const opened = await EitherAsync.fromPromise(async () => this.#options.lease.connection.open());
		if (this.#aborted) {
			return;
		}

		opened.ifLeft(error => {
			this.#failBy(error);
		}).ifRight(() => {
			this.#dispatch();
		});
	}

	/** Gives the request to the library. An error that is thrown meanwhile ends this attempt alone. */
	#dispatch(): void {
		const {lease, method, path, headers, body} = this.#options;
		Either.encase(() => {
			lease.connection.client.dispatch({
				method, path, headers: headers(), body: body ?? null,
			}, this);
		}).ifLeft(error => {
			this.#failBy(error);
		});
	}

	#complete(): void {
		const {connection} = this.#options.lease;
		if (this.#aborted !== undefined || !this.#head) {
			return;
		}

		if (connection.isUnframed && connection.wasReset) {
			this.abort({kind: 'truncated', detail: 'the connection was reset before the end of the response'});
			return;
		}

		this.#release({isReusable: !connection.isUnframed});
		if (this.#forwarder) {
			this.#forwarder.end();
			return;
		}

		const body = this.#bufferedPieces.length === 1 ? this.#bufferedPieces[0]! : Buffer.concat(this.#bufferedPieces);
		const {status, headers} = this.#head;
		this.#resolve(Right({
			kind: 'whole', status, headers, body,
		}));
	}

	get #execution(): Execution {
		if (!this.mayHaveRun) {
			return 'not-run';
		}

		const status = this.#head?.status ?? 0;
		return status >= FIRST_SUCCESS && status <= LAST_SUCCESS ? 'ran' : 'unknown';
	}

	/** Counts an interim response. A server that sends too many is not waited for until the deadline. */
	#recordInterim(): void {
		this.#interimResponses += 1;
		if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
			this.abort({kind: 'mismatched', detail: `the server sent more than ${MAX_INTERIM_RESPONSES} interim responses`});
		}
	}

	#recordActivity(): void {
		this.#options.lease.connection.lastReceivedAtMs = this.#options.now();
	}

	#release({isReusable}: {readonly isReusable: boolean}): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.#options.lease.release({isReusable});
		}
	}

	#fail(failure: AttemptFailure): void {
		if (this.#forwarder) {
			this.#forwarder.fail(failure);
		} else {
			this.#resolve(Left(failure));
		}
	}

	#startForwarding(): void {
		const {connection} = this.#options.lease;
		const forwarder = new ResponseForwarder({
			head: this.#head!,
			bufferedPieces: this.#bufferedPieces,
			holdReading: () => {
				if (!this.#isReleased) {
					connection.holdReading();
				}
			},
			releaseReading: () => {
				if (!this.#isReleased) {
					connection.releaseReading();
				}
			},
		});
		this.#bufferedPieces = [];
		this.#forwarder = forwarder;
		this.#resolve(Right({
			kind: 'partial', ...this.#head!, forward: async response => {
				if (isUnanswered(response)) {
					return forwarder.start(response);
				}

				const failure: AttemptFailure = {kind: 'cancelled', execution: this.#execution, detail: 'the caller was refused or disconnected before the response could be forwarded'};
				this.abort(failure);
				return Left(failure);
			},
		}));
	}
}

/** Codes of errors for which the other side or the network ended or refused a connection; others are errors of the protocol. */
const lostConnectionCodes: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_SOCKET', 'ECONNREFUSED', 'ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);
/** Maximum number of interim responses (status 1xx) before a response. */
const MAX_INTERIM_RESPONSES = 32;
const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
