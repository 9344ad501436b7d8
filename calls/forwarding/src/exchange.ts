/** Sends one request to a backend server and receives its response, on a connection that nothing else uses meanwhile. */
import type {IncomingHttpHeaders} from 'node:http';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {findStatusLineFault, readResponseVersion} from '@pomelopick/core.http';
import type {Execution} from '@pomelopick/core.types';
import {executionOf, toFailure} from './exchange-failure.js';
import {ResponseBuffer} from './response-buffer.js';
import {ResponseForwarder} from './response-forwarder.js';
import type {
	ResponseHead, AttemptResponse, AttemptFailure, AttemptFailureKind,
} from './attempt-response.js';
import {isUnanswered} from './is-unanswered.js';
import {endToEndHeaders} from './call-headers.js';
import type {ExchangeOptions} from './exchange-options.js';
import {RequestSender} from './request-sender.js';
import {findMismatch, readFraming} from './response-head.js';

/** First status of a final response; those below are of interim responses. */
const FIRST_FINAL_STATUS = 200;
/** Maximum number of interim responses (status 1xx) before a response. */
const MAX_INTERIM_RESPONSES = 32;

/** One request and its response. The result is resolved once. */
export class Exchange implements Dispatcher.DispatchHandler {
	/** Resolves with the response or the failure; never rejects. */
	readonly result: Promise<Either<AttemptFailure, AttemptResponse>>;
	readonly #options: ExchangeOptions;
	#resolve!: (result: Either<AttemptFailure, AttemptResponse>) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#startedAtMs: number | undefined;
	/** Failure with which the request was aborted; undefined: it was not. */
	#aborted: AttemptFailure | undefined;
	/** Whether the connection was given back, so that it may belong to another request. */
	#isReleased = false;
	#interimResponses = 0;
	#head: ResponseHead | undefined;
	/** Whether the response ends with its connection, for want of a content length or chunks. */
	#isUnframed = false;
	readonly #buffer: ResponseBuffer;
	readonly #sender: RequestSender;
	#forwarder: ResponseForwarder | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#buffer = new ResponseBuffer(options);
		this.#sender = new RequestSender({
			exchange: options,
			handler: this,
			isAborted: () => this.#aborted !== undefined,
			onFailed: error => {
				this.#failWith(error);
			},
			onOutdated: () => {
				this.abort({kind: 'cancelled', detail: 'the request may no longer be sent'});
			},
		});
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
		this.#sender.send();
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
		const fault = findStatusLineFault({status, version: readResponseVersion(this.#options.lease.connection.client)});
		if (fault !== undefined) {
			this.abort({kind: 'mismatched', detail: fault});
			return;
		}

		if (status < FIRST_FINAL_STATUS) {
			this.#recordInterim();
		} else {
			this.#receiveHead(status, headers);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, piece: Uint8Array): void {
		this.#recordActivity();
		this.#options.reservation?.hold(piece.length);
		if (this.#forwarder) {
			this.#forwarder.write(piece);
			return;
		}

		this.#buffer.add(piece);
		this.#forwardIfLarge();
	}

	/** Gives the connection back, and resolves with the whole response unless it is already being forwarded. */
	onResponseEnd(): void {
		if (this.#aborted !== undefined || !this.#head) {
			return;
		}

		this.#release({isReusable: !this.#isUnframed});
		if (this.#forwarder) {
			this.#forwarder.end();
			return;
		}

		this.#resolve(Right({kind: 'whole', ...this.#head, body: this.#buffer.toBytes()}));
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		if (this.#aborted) {
			return;
		}

		if (this.mayHaveRun || !this.#sender.trySendAgain()) {
			this.#failWith(error);
		}
	}

	#failWith(error: Error & {code?: string}): void {
		this.#release({isReusable: false});
		this.#fail(toFailure({error, mayHaveRun: this.mayHaveRun, status: this.#head?.status}));
	}

	/** Handles the head of a final response: the response may belong to another call, or have a body whose end is uncertain. */
	#receiveHead(status: number, headers: IncomingHttpHeaders): void {
		const {connection} = this.#options.lease;
		const head = {status, headers: endToEndHeaders(headers)};
		this.#options.onHead?.(head);
		const mismatch = findMismatch({...this.#options, headers, wasUsed: connection.wasUsed});
		if (mismatch !== undefined) {
			this.abort({kind: 'mismatched', detail: mismatch});
			return;
		}

		this.#head = head;
		const {method, acceptsUnframed = false} = this.#options;
		const {hasBody, isUnframed} = readFraming({method, status, headers});
		this.#isUnframed = isUnframed;
		if (isUnframed && !acceptsUnframed) {
			this.abort({kind: 'truncated', detail: 'the response has neither a content length nor chunked encoding, so a truncated body would look complete'});
			return;
		}

		this.#buffer.expect(hasBody ? Number(headers['content-length'] ?? 0) : 0);
		this.#forwardIfLarge();
	}

	get #execution(): Execution {
		return executionOf({mayHaveRun: this.mayHaveRun, status: this.#head?.status});
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

	#forwardIfLarge(): void {
		if (this.#buffer.isTooLarge) {
			this.#startForwarding();
		}
	}

	/** Resolves with the head, and passes the body on while it arrives; reading is held only while the connection belongs to this request. */
	#startForwarding(): void {
		const {connection} = this.#options.lease;
		const forwarder = new ResponseForwarder({
			head: this.#head!,
			bufferedPieces: this.#buffer.take(),
			reservation: this.#options.reservation,
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
