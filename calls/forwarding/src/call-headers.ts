/** Headers that the system reads from callers and sends to backend servers. */
import type {IncomingHttpHeaders} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Time that the sender still gives the call, in milliseconds; relative, so that no clocks are compared. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
/** Identifier of the call, sent to the backend server and back to the caller. */
export const CALL_ID_HEADER = 'x-call-id';
/** `true` on a 503 of a backend server that leaves. */
export const DRAINING_HEADER = 'x-draining';
/** Makes a write safe to send again (draft-ietf-httpapi-idempotency-key-header). */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/**
 * Attempts that the sender allows in all, counted over every hop below it. Each attempt is sent on with 1, so that only
 * the outermost hop retries and layers do not multiply their attempts.
 */
export const ATTEMPTS_HEADER = 'x-attempts-left';

/** Longest timeout that a caller may ask for; longer ones are cut to it, in milliseconds. */
const LONGEST_TIMEOUT_MS = 600_000;

/** Number of this copy of a keyed call, from 1. A caller that says 1 says that it has sent no copy before. */
export const ATTEMPT_HEADER = 'x-call-attempt';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection', 'expect']);

/** Copies the headers that go past this hop. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const named = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	const copied: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name) && !named.has(name)) {
			copied[name] = value;
		}
	}

	return copied;
}

/** What the headers of a call ask for. */
export interface CallDemands {
	/** Timeout in milliseconds; undefined: the service's own. */
	readonly timeoutMs: number | undefined;
	/** Attempts allowed in all; undefined: as many as this instance allows. */
	readonly attempts: number | undefined;
	/** Idempotency key; undefined: none. */
	readonly key: string | undefined;
}

/** Reads and checks the headers that steer a call. Left names the header, what was expected and what was found. */
export function readDemands(headers: IncomingHttpHeaders): Either<string, CallDemands> {
	const timeout = headers[TIMEOUT_HEADER];
	if (timeout !== undefined && !/^\d{1,9}$/u.test(String(timeout))) {
		return Left(`${TIMEOUT_HEADER}: expected whole milliseconds, found ${JSON.stringify(timeout)}`);
	}

	const attempts = headers[ATTEMPTS_HEADER];
	if (attempts !== undefined && !/^[1-9]\d?$/u.test(String(attempts))) {
		return Left(`${ATTEMPTS_HEADER}: expected a number from 1 to 99, found ${JSON.stringify(attempts)}`);
	}

	const key = headers[IDEMPOTENCY_KEY_HEADER];
	if (key !== undefined && !/^[\u0021-\u007E]{1,255}$/u.test(String(key))) {
		return Left(`${IDEMPOTENCY_KEY_HEADER}: expected 1 to 255 visible ASCII characters, found ${JSON.stringify(key).slice(0, SHOWN_CHARACTERS)}`);
	}

	return Right({
		timeoutMs: timeout === undefined ? undefined : Math.min(LONGEST_TIMEOUT_MS, Number(timeout)),
		attempts: attempts === undefined ? undefined : Number(attempts),
		key: key as string | undefined,
	});
}

const SHOWN_CHARACTERS = 80;
