/** What may be said of a keyed call before its key was judged. */
import type {IncomingMessage} from 'node:http';
import type {Refusal} from '@pomelopick/core.types';
import {ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER} from './call-headers.js';

/** Whether the request brings a key that is to be kept: reads need none. */
export function isKeyed({method, headers}: IncomingMessage): boolean {
	return headers[IDEMPOTENCY_KEY_HEADER] !== undefined && method !== 'GET' && method !== 'HEAD';
}

/** Options of {@link limitClaim}. */
export interface LimitClaimOptions {
	readonly request: IncomingMessage;
	readonly refusal: Refusal;
}

/**
 * What may be said of a keyed call that is refused before its key was judged. An earlier copy may have been run at
 * another instance, so "not run" is said only to a caller that states that this is the first copy. A refused conflict
 * speaks of another request than the one that the key stands for.
 */
export function limitClaim({request, refusal}: LimitClaimOptions): Refusal {
	const isFirst = request.headers[ATTEMPT_HEADER] === '1';
	return !isKeyed(request) || isFirst || refusal.execution !== 'not-run' || refusal.reason === 'key-conflict'
		? refusal
		: {...refusal, execution: 'unknown', detail: `${refusal.detail}; this copy was not run, of earlier copies nothing is known here`};
}
