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

/** Options that a `Connection` header mostly has; they name no header that is to be kept. */
const usualConnectionOptions = new Set(['keep-alive', 'close']);

/** Copies the headers that go past this hop. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const named = readNamedHeaders(headers.connection);
	const copied: Record<string, string | string[]> = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !hopByHopHeaders.has(name) && !named?.has(name)) {
			copied[name] = value;
		}
	}

	return copied;
}

/** Headers that a `Connection` header names as those of this hop; undefined when it names none. */
function readNamedHeaders(connection: string | undefined): ReadonlySet<string> | undefined {
	return connection === undefined || usualConnectionOptions.has(connection)
		? undefined
		: new Set(connection.toLowerCase().split(',').map(name => name.trim()));
}

/** Names and values of headers in turn, as the HTTP libraries take them; a name with several values stands before each. */
export type HeaderList = string[];

/** Options of {@link listHeaders}. */
export interface ListHeadersOptions {
	readonly headers: Readonly<Record<string, string | string[]>>;
	/** Names and values of this hop, each in place of a header of the same name. */
	readonly added: readonly string[];
}

/** Lists headers with those of this hop. A list is used because objects with many names that vary are slow to copy. */
export function listHeaders({headers, added}: ListHeadersOptions): HeaderList {
	const list: HeaderList = [];
	for (const name of Object.keys(headers)) {
		if (!isNamedIn({name, list: added})) {
			addHeader({list, name, value: headers[name]!});
		}
	}

	list.push(...added);
	return list;
}

function addHeader({list, name, value}: {readonly list: HeaderList; readonly name: string; readonly value: string | string[]}): void {
	if (typeof value === 'string') {
		list.push(name, value);
		return;
	}

	for (const one of value) {
		list.push(name, one);
	}
}

function isNamedIn({name, list}: {readonly name: string; readonly list: readonly string[]}): boolean {
	for (let position = 0; position < list.length; position += 2) {
		if (list[position] === name) {
			return true;
		}
	}

	return false;
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
