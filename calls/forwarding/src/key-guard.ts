/** Contract between the call path and what runs each keyed call at most once. */
import type {Either} from 'purify-ts';
import type {Execution, Refusal, ServiceName} from '@pomelopick/core.types';

/** A backend server's whole answer to a keyed call. */
export interface KeyedAnswer {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
}

/** How a keyed call ended: its whole answer, or what is known of its execution. */
export type KeyedOutcome = KeyedAnswer | {readonly execution: Exclude<Execution, 'ran'>};

/** A keyed call that may go on: to a backend server, or straight to the answer of an earlier copy. */
export type KeyedRun =
	| {
		readonly kind: 'run';
		/** Records how the call ended; called once, before the caller gets its answer. */
		finish(outcome: KeyedOutcome): Promise<void>;
	}
	| {readonly kind: 'replay'; readonly outcome: KeyedAnswer};

/** Options of {@link BeginKeyedCall}. */
export interface BeginKeyedCallOptions {
	/** Value of the `Idempotency-Key` header. */
	readonly key: string;
	readonly service: ServiceName;
	/** Digest of the method, service, path and body. */
	readonly fingerprint: string;
	/** Monotonic time by which the caller must have its answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Aborted when the caller leaves. */
	readonly signal: AbortSignal;
}

/** Admits a keyed call, hands over the outcome of an earlier copy, or refuses. Never throws. */
export type BeginKeyedCall = (options: BeginKeyedCallOptions) => Promise<Either<Refusal, KeyedRun>>;

/** Runs each keyed call at most once. */
export interface KeyGuard {
	readonly begin: BeginKeyedCall;
}
