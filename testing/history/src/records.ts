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

/** What an instance said of a key when it was asked for its outcome. */
export interface OutcomeRecord {
	readonly key: string;
	readonly state: 'absent' | 'in-flight' | 'unknown' | 'ran' | 'expired';
	readonly execution: ExecutionState;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly startedAtMs: number;
	/** Identifier of the call whose answer was kept, as the backend server wrote it. */
	readonly answeredCallId?: string;
}

/** All that one run left behind. */
export interface History {
	readonly outcomes?: readonly OutcomeRecord[];
	readonly copies: readonly CopyRecord[];
	readonly executions: readonly Execution[];
}
