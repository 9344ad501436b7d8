/** Execution status in refusals of keyed calls whose key has not been checked against the journal. */
import type {IncomingMessage} from 'node:http';
import type {Refusal} from '@pomelopick/core.types';
import {ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER} from './call-headers.js';

/** Whether the request has an idempotency key that must be recorded. Reads need none. */
export function isKeyed({method, headers}: IncomingMessage): boolean {
	return headers[IDEMPOTENCY_KEY_HEADER] !== undefined && method !== 'GET' && method !== 'HEAD';
}

/** Options of {@link qualifyKeyedRefusal}. */
export interface QualifyKeyedRefusalOptions {
	readonly request: IncomingMessage;
	readonly refusal: Refusal;
}

/**
 * Replaces `not-run` by `unknown` in the refusal of a keyed call, since an earlier copy may have been run at another
 * instance. `not-run` stays when the caller states that this is its first copy, and for a key conflict, which concerns
 * another request than the one that the key belongs to.
 */
export function qualifyKeyedRefusal({request, refusal}: QualifyKeyedRefusalOptions): Refusal {
	const isFirstCopy = request.headers[ATTEMPT_HEADER] === '1';
	return !isKeyed(request) || isFirstCopy || refusal.execution !== 'not-run' || refusal.reason === 'key-conflict'
		? refusal
		: {...refusal, execution: 'unknown', detail: `${refusal.detail}; this copy was not run; whether an earlier copy was run is unknown`};
}
