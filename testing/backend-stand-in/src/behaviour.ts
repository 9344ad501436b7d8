/** How a backend server stand-in behaves; tests change it while it runs. */

/** Switches of the stand-in. */
export interface BackendBehaviour {
	/** Time that a call of no stated length takes, in milliseconds. */
	workMs: number;
	/** Size of an answer's padding, in bytes. */
	answerBytes: number;
	/** Added to the work of calls while the server is cold, in milliseconds. */
	coldExtraMs: number;
	/** Time after the start during which the server is cold, in milliseconds. */
	coldForMs: number;
	/** Calls that may wait for a slot; more are shed. */
	queueCalls: number;
	/** Load and health answers show the state of so many milliseconds ago. */
	reportLagMs: number;
	/** Load report shown instead of the truth. */
	reportedInFlight: number | undefined;
	/** Health shown instead of the truth. */
	reportedHealthy: boolean | undefined;
	/** Load and health are not answered at all. */
	reportsSilent: boolean;
	/** New calls are shed and health says "draining". */
	draining: boolean;
	/** Opened connections read nothing and answer nothing; new ones work. */
	freezeOpenConnections: boolean;
	/** Part of the answers that break off half way, from 0 to 1. */
	truncateEvery: number;
}

/** A server at rest. */
export const defaultBehaviour: BackendBehaviour = {
	workMs: 20,
	answerBytes: 256,
	coldExtraMs: 0,
	coldForMs: 0,
	queueCalls: 0,
	reportLagMs: 0,
	reportedInFlight: undefined,
	reportedHealthy: undefined,
	reportsSilent: false,
	draining: false,
	freezeOpenConnections: false,
	truncateEvery: 0,
};

/** One execution, as the record keeps it. */
export interface Execution {
	readonly callId: string;
	readonly idempotencyKey: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly startedAtMs: number;
	endedAtMs: number | undefined;
	ended: 'running' | 'answered' | 'cancelled' | 'truncated';
}
