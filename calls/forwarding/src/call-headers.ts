/** Headers that the system reads from callers and sends to backend servers. */
import type {IncomingHttpHeaders} from 'node:http';

/** Time that the sender still gives the call, in milliseconds; relative, so that no clocks are compared. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
/** Identifier of the call, sent to the backend server and back to the caller. */
export const CALL_ID_HEADER = 'x-call-id';
/** `true` on a 503 of a backend server that leaves. */
export const DRAINING_HEADER = 'x-draining';
/** Makes a write safe to send again (draft-ietf-httpapi-idempotency-key-header). */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Number of this copy of a keyed call, from 1. A caller that says 1 says that it has sent no copy before. */
export const ATTEMPT_HEADER = 'x-call-attempt';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection']);

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

/** Timeout that a caller asks for, in milliseconds; undefined when the header is absent, NaN when it is malformed. */
export function readTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
	const value = headers[TIMEOUT_HEADER];
	if (value === undefined) {
		return undefined;
	}

	return /^\d{1,9}$/u.test(String(value)) ? Number(value) : Number.NaN;
}
