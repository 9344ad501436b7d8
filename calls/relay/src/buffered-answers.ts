/**
 * How much of a response is buffered before any of it is forwarded.
 *
 * A response that breaks off while it is buffered can still be retried or replaced by a refusal. Once it has begun, it can
 * only be cut with its connection, and the responses to the requests behind it there are lost as well.
 */
import type {RelayedRequest} from './relayed-request.js';

/** Number of bytes of a response that are always buffered. */
export const BUFFERED_ANSWER_BYTES = 65_536;
/** Largest response that is buffered because there are requests behind its own on the caller's connection, in bytes. */
const MAX_BYTES_BEFORE_OTHERS = 1_048_576;
/** Time from the start of an attempt for which such a response is buffered, in milliseconds: one that takes longer would delay the responses behind it. */
const MAX_BUFFERING_MS = 1000;

/** Options of {@link mayBufferFurther}. */
export interface MayBufferFurtherOptions {
	readonly request: RelayedRequest;
	/** Length of the response, as far as it is known. */
	readonly bytes: number;
	/** Monotonic time at which the attempt began, in milliseconds. */
	readonly sentAtMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Whether a response of more than {@link BUFFERED_ANSWER_BYTES} is buffered further. Only an idempotent request can be retried after it has run. */
export function mayBufferFurther({request, bytes, sentAtMs, nowMs}: MayBufferFurtherOptions): boolean {
	const {hasRequestsBehind, reservation} = request.options;
	return hasRequestsBehind?.() === true && request.isIdempotent && bytes <= MAX_BYTES_BEFORE_OTHERS && nowMs - sentAtMs < MAX_BUFFERING_MS && reservation?.mayReadAhead() === true;
}
