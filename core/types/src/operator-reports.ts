/** Reports of an instance to operators: its status and its explanations of decisions. */
import type {Endpoint} from './endpoint.js';
import type {InstanceState} from './instance.js';
import type {DrainTarget} from './objects.js';

/** A member of the fleet in the view of one instance. */
export interface MemberReport {
	readonly id: string;
	readonly failureDomain: string;
	readonly state: InstanceState;
	readonly alive: boolean;
	/** Whether it is in a region that is cut off from the reporting instance. */
	readonly isolated: boolean;
	/** Utilisation of its call limit, from 0 to 1. */
	readonly load: number;
	readonly operators: Endpoint;
}

/** A drain and its progress. */
export interface DrainReport {
	readonly name: string;
	readonly target: DrainTarget;
	/** Backend servers that it covers. */
	readonly backendServers: number;
	/** Calls of the reporting instance that are still in progress at them. */
	readonly callsInProgress: number;
	/** Time since the drain became active at the reporting instance, in milliseconds. */
	readonly ageMs?: number;
	/** Age of the drain at the last new call that was placed on its servers, in milliseconds; absent when there was none. */
	readonly lastNewCallMs?: number;
	/** Age of the drain at the end of the last call at its servers, in milliseconds; absent when there was none. */
	readonly lastCallEndedMs?: number;
}

/** A shift, its cap and its use. */
export interface ShiftReport {
	readonly name: string;
	readonly service: string;
	readonly from: string;
	readonly to: string;
	readonly capCallsPerSecond: number;
	/** Absent when the reporting instance does not know it. */
	readonly usedCallsPerSecond?: number;
}

/** A request that is quarantined, that is, not sent to backend servers, or suspected of crashing them. */
export interface QuarantineReport {
	readonly fingerprint: string;
	/** `convicted`: the request is quarantined. `suspect`: it is suspected only. */
	readonly state: 'convicted' | 'suspect';
	readonly detail: string;
}

/** Availability of the key-value service for an instance. */
export interface StoreReport {
	/** `idle`: the instance has made no call yet. */
	readonly state: 'idle' | 'answering' | 'failing';
	/** Time since the last answer, in milliseconds. */
	readonly lastAnswerAgeMs?: number;
	/** Time since the last failure, in milliseconds. */
	readonly lastFailureAgeMs?: number;
	readonly lastFailure?: string;
}

/** Calls of one instance at the backend servers of one service in one region. */
export interface ServiceUseReport {
	readonly service: string;
	readonly region: string;
	readonly callsInProgress: number;
	/** Calls sent there since the process started. */
	readonly callsPlaced: number;
	/** Slots in use by the whole fleet; present if the reporting instance counts the slots. */
	readonly slots?: SlotUseReport;
}

/** Slots of one service in one region, as counted by one instance. */
export interface SlotUseReport {
	readonly countedBy: string;
	readonly inUse: number;
	/** Concurrent calls that the servers have shown they can serve. */
	readonly proven: number;
}

/** Response to `GET /v1/status` at an instance's listener for operators. */
export interface StatusReport {
	readonly instance: string;
	readonly failureDomain: string;
	/** Absent before the first version arrived. */
	readonly configurationVersion?: number;
	readonly newestKnownVersion: number;
	/** Whether this instance watches the key-value service for the others of its failure domain. */
	readonly isWatcher: boolean;
	/** Time since the instance last confirmed that its version is the newest, in milliseconds. */
	readonly viewAgeMs?: number;
	readonly uptimeMs: number;
	readonly callsInProgress: number;
	readonly instances: readonly MemberReport[];
	readonly drains: readonly DrainReport[];
	readonly shifts: readonly ShiftReport[];
	readonly quarantines: readonly QuarantineReport[];
	readonly serviceUse: readonly ServiceUseReport[];
	readonly store: StoreReport;
	/** Counters since the process started, by name. */
	readonly counters: Readonly<Record<string, number>>;
	/** Resident memory, in bytes. */
	readonly memoryBytes: number;
}

/** One step of a decision. */
export interface ExplanationStep {
	/** The rule that was applied. */
	readonly rule: string;
	/** The number or object that the rule resulted in. */
	readonly result: string;
}

/** An entry instance and why it is or is not in the response to a client. */
export interface ExplainedEntry {
	readonly instance: string;
	readonly failureDomain: string;
	/** Expected one-way delay to the client's failure domain, in milliseconds. */
	readonly delayMs?: number;
	readonly load: number;
	/** Position in the response to the client, from 1; absent when it is not in the response. */
	readonly place?: number;
	readonly reason: string;
}

/** A backend server and its state for the placement of calls. */
export interface ExplainedServer {
	readonly backendServer: string;
	readonly site: string;
	readonly region: string;
	/** Position of its region in the order in which regions are tried, from 1; absent when no rule allows its region. */
	readonly regionOrder?: number;
	readonly slots: number;
	/** Calls of the reporting instance that are in progress at it. */
	readonly callsInProgress: number;
	/** Slots in use by the whole fleet; present if the reporting instance counts them. */
	readonly slotsInUse?: number;
	/** Concurrent calls that the server has shown it can serve; present if the reporting instance counts its slots. */
	readonly provenSlots?: number;
	/** Whether the configuration allows calls to it. */
	readonly isCandidate: boolean;
	readonly reason: string;
}

/** Response to `GET /v1/explain` at an instance's listener for operators. */
export interface Explanation {
	readonly client: string;
	readonly service: string;
	readonly instance: string;
	readonly configurationVersion: number;
	readonly viewAgeMs: number;
	readonly block?: string;
	readonly site?: string;
	readonly region?: string;
	readonly steps: readonly ExplanationStep[];
	readonly entries: readonly ExplainedEntry[];
	readonly backendServers: readonly ExplainedServer[];
}
