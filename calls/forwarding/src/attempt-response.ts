/** Result of one attempt at a backend server: a response or a failure. */
import type {ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import type {Execution} from '@pomelopick/core.types';

/** Why an attempt produced no complete response. */
export type AttemptFailureKind = 'connect-failed' | 'failed' | 'timed-out' | 'cancelled' | 'silent-connection' | 'truncated' | 'mismatched';

/** An attempt without a complete response. */
export interface AttemptFailure {
	readonly kind: AttemptFailureKind;
	/** Whether the backend server ran the call: `ran` when the head of a successful response arrived and only its body is incomplete. */
	readonly execution: Execution;
	readonly detail: string;
	/** Whether the connection could not be made, or the other side or the network ended it. */
	readonly isConnectionLost?: boolean;
}

/** Status and headers of a response. */
export interface ResponseHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
}

/** A response that is complete (`whole`), or one too large to buffer whose body is still arriving (`partial`). */
export type AttemptResponse = ResponseHead & (
	| {readonly kind: 'whole'; readonly body: Uint8Array}
	| {
		readonly kind: 'partial';
		/** Forwards the response to the caller while it arrives. Left: it was truncated, and the caller's connection was reset. */
		readonly forward: (response: ServerResponse) => Promise<Either<AttemptFailure, void>>;
	}
);
