/** The limits on what callers send, and the refusals of input that the runtime's parser does not take. */
import type {Refusal} from '@pomelopick/core.types';

/** Limits on what callers send and on how long they take. */
export interface ListenerLimits {
	/** Maximum size of the headers of one request, in bytes. */
	readonly headerBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time for which a connection may be idle, in milliseconds. */
	readonly idleTimeoutMs: number;
}

/** Translates an error of the parser. */
export function toRefusal({error: {code, message}, limits}: {readonly error: Error & {code?: string}; readonly limits: ListenerLimits}): Refusal {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return {reason: 'headers-too-large', execution: 'not-run', detail: `headers: expected at most ${limits.headerBytes} bytes`};
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {reason: 'headers-too-slow', execution: 'not-run', detail: `the request did not arrive within ${limits.headersTimeoutMs} ms`};
		}

		default: {
			return {reason: 'bad-request', execution: 'not-run', detail: `malformed HTTP: ${message}`};
		}
	}
}
