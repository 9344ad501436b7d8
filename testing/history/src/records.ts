/** What a concurrent run leaves behind: what callers were told, against what backend servers executed. */
import type {Execution as ExecutionState, RefusalReason} from '@pomelopick/core.types';
import type {Execution} from '@pomelopick/testing.backend-stand-in';

/** One copy of a call and how it ended for its caller. */
export interface CopyRecord {
	/** Key of the call; undefined for a call without one. */
	readonly key: string | undefined;
	readonly method: string;
	readonly path: string;
	/** Instance that it was sent to. */
	readonly instance: string;
	/** Wall-clock time, in milliseconds since the epoch; all processes are on one machine. */
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	/** `silent`: the connection broke or the deadline passed. `wrong`: an answer that is not the whole own one. */
	readonly ended: 'answered' | 'refused' | 'silent' | 'wrong';
	readonly reason?: RefusalReason;
	readonly execution?: ExecutionState;
	/** Identifier that the instance gave the copy. */
	readonly callId?: string;
	/** Identifier of the call whose answer this is, as the backend server wrote it. */
	readonly answeredCallId?: string;
	readonly detail?: string;
}

/** All that one run left behind. */
export interface History {
	readonly copies: readonly CopyRecord[];
	readonly executions: readonly Execution[];
}
