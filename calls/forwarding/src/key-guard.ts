/** Interface between the forwarding of calls and the guard that runs each call with an idempotency key (a keyed call) at most once. */
import type {Either} from 'purify-ts';
import type {Execution, Refusal, ServiceName} from '@pomelopick/core.types';

/** A backend server's complete response to a keyed call. */
export interface KeyedResponse {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
}

/** How a keyed call ended: its complete response, or else whether it was run. */
export type KeyedOutcome = KeyedResponse | {readonly execution: Exclude<Execution, 'ran'>};

/** A keyed call that was admitted: it is sent to a backend server, or it gets the response to an earlier copy, which had the same key. */
export type KeyedRun =
	| {
		readonly kind: 'run';
		/** Records how the call ended; called once, before the caller gets its response. */
		finish(outcome: KeyedOutcome): Promise<void>;
	}
	| {readonly kind: 'replay'; readonly outcome: KeyedResponse};

/** Options of {@link BeginKeyedCall}. */
export interface BeginKeyedCallOptions {
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	readonly service: ServiceName;
	/** Digest of the method, service, path and body. */
	readonly fingerprint: string;
	/** Monotonic time by which the caller must have its response, in milliseconds. */
	readonly deadlineMs: number;
	/** Aborted when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
}

/** Admits a keyed call, returns the response to an earlier copy, or refuses the call. Never rejects. */
export type BeginKeyedCall = (options: BeginKeyedCallOptions) => Promise<Either<Refusal, KeyedRun>>;

/** Runs each keyed call at most once. */
export interface KeyGuard {
	readonly begin: BeginKeyedCall;
}
