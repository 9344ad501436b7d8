/** Behaviour of a backend server stand-in. Tests change it while the stand-in runs. */

/** Settings of the behaviour, including faults. */
export interface BackendBehaviour {
	/** Duration of the work of a call that does not set `workMs`, in milliseconds. */
	workMs: number;
	/** Size of the padding in the response to a call that does not set `bytes`, in bytes. */
	answerBytes: number;
	/** Time added to the work of each call while the server is cold, in milliseconds. */
	coldExtraMs: number;
	/** Time after the start during which the server is cold, in milliseconds. */
	coldForMs: number;
	/** Maximum number of calls that wait for a slot. Further calls are shed. */
	queueCalls: number;
	/** Lag of the state shown in load and health responses, in milliseconds. */
	reportLagMs: number;
	/** Number of calls reported as in flight instead of the actual number. */
	reportedInFlight: number | undefined;
	/** Health reported instead of the actual health. */
	reportedHealthy: boolean | undefined;
	/** Requests for load and health get no response. */
	reportsSilent: boolean;
	/** New calls are shed, and health reports `draining`. */
	draining: boolean;
	/** Connections that are open when this is switched on read and send nothing from then on. New connections work. */
	freezeOpenConnections: boolean;
	/** Every response whose number is a multiple of this is cut off halfway. 0 cuts off none. */
	truncateEvery: number;
}

/** Behaviour of a server without faults. */
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

/** Record of one execution. */
export interface Execution {
	readonly callId: string;
	readonly idempotencyKey: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly startedAtMs: number;
	endedAtMs: number | undefined;
	ended: 'running' | 'answered' | 'cancelled' | 'truncated';
}
