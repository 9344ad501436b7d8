/** One request to a backend server and its answer, over one connection of its own. */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Execution} from '@pomelopick/core.types';
import type {ConnectionLease} from '@pomelopick/calls.connections';
import {AnswerForwarding} from './answer-forwarding.js';
import type {
	AnswerHead, AttemptAnswer, AttemptFailure, AttemptFailureKind,
} from './attempt-answer.js';
import {CALL_ID_HEADER, endToEndHeaders} from './call-headers.js';
import type {HeaderList} from './call-headers.js';

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
	readonly lease: ConnectionLease;
	readonly callId: string;
	/** Header by which an answer repeats the call's id. */
	readonly idHeader?: string;
	/** Whether an answer may have neither a length nor chunks and end with its connection; one whose connection is reset is then cut. */
	readonly takesUnframed?: boolean;
	readonly method: string;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: HeaderList;
	readonly body: Uint8Array | Readable | undefined;
	/** Bytes of an answer that are held before the first of them is sent on. */
	readonly heldBytes: number;
	/** Told of the head of each final answer on the connection, also of one that is not this call's. */
	readonly onHead?: (head: AnswerHead) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Carries one request; resolves once. */
export class Exchange implements Dispatcher.DispatchHandler {
	/** Resolves with the answer or the failure; never rejects. */
	readonly result: Promise<Either<AttemptFailure, AttemptAnswer>>;
	readonly #options: ExchangeOptions;
	#resolve!: (result: Either<AttemptFailure, AttemptAnswer>) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#aborted: AttemptFailure | undefined;
	#isReleased = false;
	#head: AnswerHead | undefined;
	#held: Uint8Array[] = [];
	#heldBytes = 0;
	#forwarding: AnswerForwarding | undefined;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.result = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Whether a byte of the request may have left. */
	get mayHaveRun(): boolean {
		return this.#controller !== undefined;
	}

	/** Whether the head of an answer has arrived. */
	get hasHead(): boolean {
		return this.#head !== undefined;
	}

	/** Sends the request. */
	send(): void {
		const {lease, method, path, headers, body} = this.#options;
		lease.connection.client.dispatch({
			method, path, headers, body: body ?? null,
		}, this);
	}

	/** Gives the request up. Its connection is closed, which cancels the backend server's work. */
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
			// Nothing was written yet, and nothing will be.
			controller.abort(new errors.RequestAbortedError(this.#aborted.detail));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		this.#noteLife();
		if (status < 200) {
			return;
		}

		const {callId, idHeader = CALL_ID_HEADER, method, takesUnframed = false, onHead} = this.#options;
		const head = {status, headers: endToEndHeaders(headers)};
		onHead?.(head);
		const echoed = headers[idHeader];
		if (echoed !== undefined && echoed !== callId) {
			this.abort({kind: 'mismatched', detail: `got the answer of call ${JSON.stringify(echoed)}`});
			return;
		}

		this.#head = head;
		const hasBody = method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
		const isUnframed = hasBody && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
		this.#options.lease.connection.isUnframed = isUnframed;
		if (isUnframed && !takesUnframed) {
			this.abort({kind: 'truncated', detail: 'the answer has neither a length nor chunks, so its end cannot be told from a cut'});
			return;
		}

		if (hasBody && Number(headers['content-length'] ?? 0) > this.#options.heldBytes) {
			this.#startForwarding(controller);
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, piece: Uint8Array): void {
		this.#noteLife();
		if (this.#forwarding) {
			this.#forwarding.write({piece, controller});
			return;
		}

		this.#held.push(piece);
		this.#heldBytes += piece.length;
		if (this.#heldBytes > this.#options.heldBytes) {
			this.#startForwarding(controller);
		}
	}

	onResponseEnd(): void {
		if (this.#options.lease.connection.isUnframed) {
			// Whether its connection ended or was reset is known once pending events have been told.
			setImmediate(() => {
				this.#end();
			});
			return;
		}

		this.#end();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error & {code?: string}): void {
		if (this.#aborted) {
			return;
		}

		this.#release({isReusable: false});
		const detail = `${error.code ?? error.name}: ${error.message}`;
		const kind = this.#head ? 'truncated' : (this.mayHaveRun ? 'failed' : 'connect-failed');
		this.#fail({kind, execution: this.#execution, detail});
	}

	#end(): void {
		const {connection} = this.#options.lease;
		if (this.#aborted !== undefined || !this.#head) {
			return;
		}

		if (connection.isUnframed && connection.wasReset) {
			this.abort({kind: 'truncated', detail: 'the connection was reset before the end of the answer'});
			return;
		}

		this.#release({isReusable: !connection.isUnframed});
		if (this.#forwarding) {
			this.#forwarding.end();
			return;
		}

		const body = this.#held.length === 1 ? this.#held[0]! : Buffer.concat(this.#held);
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

	#noteLife(): void {
		this.#options.lease.connection.lastAnswerAtMs = this.#options.now();
	}

	#release({isReusable}: {readonly isReusable: boolean}): void {
		if (!this.#isReleased) {
			this.#isReleased = true;
			this.#options.lease.release({isReusable});
		}
	}

	#fail(failure: AttemptFailure): void {
		if (this.#forwarding) {
			this.#forwarding.fail(failure);
		} else {
			this.#resolve(Left(failure));
		}
	}

	#startForwarding(controller: Dispatcher.DispatchController): void {
		controller.pause();
		const forwarding = new AnswerForwarding({head: this.#head!, held: this.#held, controller});
		this.#held = [];
		this.#forwarding = forwarding;
		this.#resolve(Right({
			kind: 'partial', ...this.#head!, forward: async response => forwarding.start(response),
		}));
	}
}

const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
