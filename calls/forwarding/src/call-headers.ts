/** Headers that the system reads from callers and sends to backend servers. */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Time that the sender leaves for the call, in milliseconds; a duration, so that clocks need not agree. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
/** Identifier of the call, sent to the backend server and back to the caller. */
export const CALL_ID_HEADER = 'x-call-id';
/** `true` on a 503 response of a backend server that is shutting down. */
export const DRAINING_HEADER = 'x-draining';
/** Makes a write safe to send again (draft-ietf-httpapi-idempotency-key-header). */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/**
 * Total attempts that the sender allows, counted over all hops after it. Each attempt is forwarded with 1, so that only
 * the first hop retries and the attempts of several layers do not multiply.
 */
export const ATTEMPTS_HEADER = 'x-attempts-left';

/** Maximum timeout that a caller can request, in milliseconds; longer ones are reduced to it. */
const MAX_TIMEOUT_MS = 600_000;

/** Number of this copy of a keyed call, from 1. By 1 the caller states that it has sent no copy before. */
export const ATTEMPT_HEADER = 'x-call-attempt';

/** Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection', 'expect']);

/** The most common values of the `Connection` header. They name no header besides the ones above, so parsing is skipped. */
const usualConnectionOptions = new Set(['keep-alive', 'close']);

/** Copies the end-to-end headers of a response, which are passed on. */
export function endToEndHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const connectionOptions = readConnectionOptions(headers.connection);
	const copied: Record<string, string | string[]> = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !hopByHopHeaders.has(name) && !connectionOptions?.has(name)) {
			copied[name] = value;
		}
	}

	return copied;
}

/**
 * Copies the end-to-end headers of a caller's request, which are passed on. They are read from the list as received: the
 * runtime's parsed headers lack repeated ones of some names, and names that an object inherits.
 */
export function endToEndRequestHeaders({headers: {connection}, rawHeaders}: Pick<IncomingMessage, 'headers' | 'rawHeaders'>): Record<string, string | string[]> {
	const connectionOptions = readConnectionOptions(connection);
	const copied = Object.create(null) as Record<string, string | string[]>;
	for (let position = 0; position < rawHeaders.length; position += 2) {
		const name = rawHeaders[position]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionOptions?.has(name)) {
			const value = rawHeaders[position + 1]!;
			const known = copied[name];
			copied[name] = known === undefined ? value : [known, value].flat();
		}
	}

	return copied;
}

/** Names in a `Connection` header, whose headers apply to this hop only; undefined when it names none. */
function readConnectionOptions(connection: string | undefined): ReadonlySet<string> | undefined {
	return connection === undefined || usualConnectionOptions.has(connection)
		? undefined
		: new Set(connection.toLowerCase().split(',').map(name => name.trim()));
}

/** Alternating names and values of headers, as the HTTP libraries take them; a name with several values is repeated for each. */
export type HeaderList = string[];

/** Options of {@link listHeaders}. */
export interface ListHeadersOptions {
	readonly headers: Readonly<Record<string, string | string[]>>;
	/** Alternating names and values of headers to add; each replaces a header of the same name. */
	readonly added: readonly string[];
}

/** Lists headers together with added ones. A list is used because copying objects with many varying keys is slow. */
export function listHeaders({headers, added}: ListHeadersOptions): HeaderList {
	const list: HeaderList = [];
	for (const name of Object.keys(headers)) {
		if (!includesName({name, list: added})) {
			addHeader({list, name, value: headers[name]!});
		}
	}

	list.push(...added);
	return list;
}

/** Counts the headers that {@link listHeaders} lists; a name with several values counts once for each. */
export function countHeaders(headers: ListHeadersOptions['headers']): number {
	return Object.values(headers).reduce((count, value) => count + (typeof value === 'string' ? 1 : value.length), 0);
}

function addHeader({list, name, value}: {readonly list: HeaderList; readonly name: string; readonly value: string | string[]}): void {
	if (typeof value === 'string') {
		list.push(name, value);
		return;
	}

	for (const item of value) {
		list.push(name, item);
	}
}

function includesName({name, list}: {readonly name: string; readonly list: readonly string[]}): boolean {
	for (let position = 0; position < list.length; position += 2) {
		if (list[position] === name) {
			return true;
		}
	}

	return false;
}

/** Parameters of a call that its headers set. */
export interface CallParameters {
	/** Timeout in milliseconds; undefined: the default of the service. */
	readonly timeoutMs: number | undefined;
	/** Total attempts allowed; undefined: as many as this instance allows. */
	readonly attempts: number | undefined;
	/** Idempotency key; undefined: none. */
	readonly key: string | undefined;
}

/** Reads and checks the headers that set a call's parameters. Left: the header, what was expected and what was found. */
export function readCallParameters(headers: IncomingHttpHeaders): Either<string, CallParameters> {
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
		return Left(`${IDEMPOTENCY_KEY_HEADER}: expected 1 to 255 visible ASCII characters, found ${JSON.stringify(key).slice(0, MAX_SHOWN_CHARACTERS)}`);
	}

	return Right({
		timeoutMs: timeout === undefined ? undefined : Math.min(MAX_TIMEOUT_MS, Number(timeout)),
		attempts: attempts === undefined ? undefined : Number(attempts),
		key: key as string | undefined,
	});
}

const MAX_SHOWN_CHARACTERS = 80;
