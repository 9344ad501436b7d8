/** One attempt of a call at one backend server, over undici. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {errors} from 'undici';
import type {Dispatcher} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {BackendServer, Execution} from '@pomelopick/core.types';

/** Why an attempt gave no answer. */
export interface AttemptFailure {
	readonly kind: 'connect-failed' | 'failed' | 'timed-out' | 'cancelled' | 'body-broken';
	/** Whether the backend server may have run the call. */
	readonly execution: Execution;
	readonly detail: string;
}

/** An answer whose headers arrived. */
export interface AttemptAnswer {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Readable;
}

/** Options of {@link sendAttempt}. */
export interface SendAttemptOptions {
	readonly dispatcher: Dispatcher;
	readonly server: BackendServer;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Readable | Uint8Array | undefined;
	/** Aborted on cancellation. */
	readonly cancelled: AbortSignal;
	/** Time left for the whole attempt, in milliseconds. */
	readonly timeoutMs: number;
}

/** Sends the attempt and waits for the headers of its answer. The signals stay in force for the body. */
export async function sendAttempt({dispatcher, server, method, path, headers, body, cancelled, timeoutMs}: SendAttemptOptions): Promise<Either<AttemptFailure, AttemptAnswer>> {
	const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
	try {
		const response = await dispatcher.request({
			origin: originOf(server),
			path,
			method,
			headers: headers as Record<string, string | string[]>,
			body,
			signal: AbortSignal.any([cancelled, timeout]),
		});
		return Right({status: response.statusCode, headers: response.headers, body: response.body});
	} catch (error) {
		return Left(toFailure({error: error as Error & {code?: string}, isTimeout: timeout.aborted, isCancelled: cancelled.aborted}));
	}
}

/** Origin of a backend server. */
export function originOf({address, port}: BackendServer): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

const neverSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function toFailure({error, isTimeout, isCancelled}: {readonly error: Error & {code?: string}; readonly isTimeout: boolean; readonly isCancelled: boolean}): AttemptFailure {
	const detail = `${error.code ?? error.name}: ${error.message}`;
	if (isCancelled) {
		return {kind: 'cancelled', execution: 'unknown', detail};
	}

	if (isTimeout) {
		return {kind: 'timed-out', execution: 'unknown', detail};
	}

	if (error instanceof errors.ConnectTimeoutError || neverSentCodes.has(error.code ?? '')) {
		return {kind: 'connect-failed', execution: 'not-run', detail};
	}

	return {kind: 'failed', execution: 'unknown', detail};
}
