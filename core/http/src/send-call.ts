/** Sends one HTTP call with its own deadline. */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';

/** Time within which each further chunk of a response must arrive, in milliseconds. */
const CHUNK_TIMEOUT_MS = 500;
/** Maximum time from the first chunk of a response to its end, in milliseconds. */
const MAX_TRANSFER_MS = 4000;
/** Maximum size of a response, in bytes. */
const MAX_RESPONSE_BYTES = 33_554_432;

/** Options of {@link sendCall}. */
export interface SendCallOptions {
	readonly dispatcher: Dispatcher;
	/** Origin of the server, for an agent; clients and pools have one. */
	readonly origin?: string;
	readonly method: 'GET' | 'POST' | 'DELETE';
	/** Path with query. */
	readonly path: string;
	/** JSON text; undefined when the call has no body. */
	readonly body: string | undefined;
	/** Time within which the response must start, in milliseconds. Once it has started, it may take longer as long as chunks keep arriving. */
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
}

/** A complete response. */
export interface CallResponse {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
}

/** Thrown when a call was aborted at its deadline. */
export class CallTimeoutError extends Error {}

/** Sends a call. Rejects with {@link CallTimeoutError} at the deadline, or with the error of the connection. */
export async function sendCall({dispatcher, origin, method, path, body, timeoutMs, signal}: SendCallOptions): Promise<CallResponse> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let headers: IncomingHttpHeaders = {};
		let bytes = 0;
		let controller: Dispatcher.DispatchController | undefined;
		const cleanUp = (): void => {
			deadline.clear();
			signal?.removeEventListener('abort', onAbort);
		};

		const abortCall = (error: Error): void => {
			cleanUp();
			reject(error);
			controller?.abort(error);
		};

		const onAbort = (): void => {
			abortCall(new errors.RequestAbortedError('the call was cancelled'));
		};

		const deadline = new ResponseDeadline({
			startTimeoutMs: timeoutMs, onExpired(detail) {
				abortCall(new CallTimeoutError(detail));
			},
		});
		signal?.addEventListener('abort', onAbort);
		if (signal?.aborted) {
			onAbort();
			return;
		}

		dispatcher.dispatch({
			origin, method, path, body: body ?? null, headers: body === undefined ? [] : ['content-type', 'application/json'], headersTimeout: 0, bodyTimeout: 0,
		}, {
			onRequestStart(started) {
				controller = started;
			},
			onResponseStart(_controller, statusCode, responseHeaders) {
				status = statusCode;
				headers = responseHeaders;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
				bytes += chunk.length;
				deadline.extend();
				if (bytes > MAX_RESPONSE_BYTES) {
					abortCall(new errors.RequestAbortedError(`the response exceeds the maximum of ${MAX_RESPONSE_BYTES} bytes`));
				}
			},
			onResponseEnd() {
				cleanUp();
				resolve({status, headers, text: Buffer.concat(chunks).toString('utf8')});
			},
			onResponseError(_controller, error) {
				cleanUp();
				reject(error);
			},
		});
	});
}

interface ResponseDeadlineOptions {
	/** Time within which the response must start, in milliseconds. */
	readonly startTimeoutMs: number;
	/** Called once when a deadline expires, with a text that says what did not arrive in time. */
	readonly onExpired: (detail: string) => void;
}

/** Deadlines of a response: first for its start, then for each further chunk and for its end. */
class ResponseDeadline {
	readonly #onExpired: (detail: string) => void;
	#chunkTimer: NodeJS.Timeout;
	#endTimer: NodeJS.Timeout | undefined;

	constructor({startTimeoutMs, onExpired}: ResponseDeadlineOptions) {
		this.#onExpired = onExpired;
		this.#chunkTimer = setTimeout(() => {
			onExpired(`no response within ${startTimeoutMs} ms`);
		}, startTimeoutMs);
	}

	/** Restarts the chunk deadline, after a chunk has arrived. */
	extend(): void {
		clearTimeout(this.#chunkTimer);
		this.#chunkTimer = setTimeout(() => {
			this.#onExpired(`no further chunk of the response within ${CHUNK_TIMEOUT_MS} ms`);
		}, CHUNK_TIMEOUT_MS);
		this.#endTimer ??= setTimeout(() => {
			this.#onExpired(`the response took longer than ${MAX_TRANSFER_MS} ms after its first chunk`);
		}, MAX_TRANSFER_MS);
	}

	/** Cancels the deadlines. */
	clear(): void {
		clearTimeout(this.#chunkTimer);
		clearTimeout(this.#endTimer);
	}
}
