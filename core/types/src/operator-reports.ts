/** What an instance tells operators: its status, its explanations and what its parts hold. */
import type {Endpoint} from './endpoint.js';
import type {InstanceState} from './instance.js';
import type {DrainTarget} from './objects.js';

/** A member of the fleet as one instance sees it. */
export interface MemberReport {
	readonly id: string;
	readonly failureDomain: string;
	readonly state: InstanceState;
	readonly alive: boolean;
	/** Whether it stands in a region that is cut off from the reporting instance. */
	readonly isolated: boolean;
	/** Part of its call limit in use, from 0 to 1. */
	readonly load: number;
	readonly operators: Endpoint;
}

/** A drain and what it empties. */
export interface DrainReport {
	readonly name: string;
	readonly target: DrainTarget;
	/** Backend servers that it covers. */
	readonly backendServers: number;
	/** Calls that the reporting instance still has at them. */
	readonly callsInProgress: number;
	/** Time since the reporting instance took it into force, in milliseconds. */
	readonly ageMs?: number;
	/** Age of the drain at the last new call that was placed on its servers, in milliseconds; left out when there was none. */
	readonly lastNewCallMs?: number;
	/** Age of the drain at the end of the last call at its servers, in milliseconds; left out when there was none. */
	readonly lastCallEndedMs?: number;
}

/** A shift, its cap and what the reporting instance knows of its use. */
export interface ShiftReport {
	readonly name: string;
	readonly service: string;
	readonly from: string;
	readonly to: string;
	readonly capCallsPerSecond: number;
	/** Absent when the instance does not know. */
	readonly usedCallsPerSecond?: number;
}

/** A request that is kept from backend servers, or suspected. */
export interface QuarantineReport {
	readonly fingerprint: string;
	readonly state: 'convicted' | 'suspect';
	readonly detail: string;
}

/** How the key-value service has answered an instance. */
export interface StoreReport {
	/** `idle`: the instance has made no call yet. */
	readonly state: 'idle' | 'answering' | 'failing';
	/** Time since the last answer, in milliseconds. */
	readonly lastAnswerAgeMs?: number;
	/** Time since the last failure, in milliseconds. */
	readonly lastFailureAgeMs?: number;
	readonly lastFailure?: string;
}

/** Calls that one instance has at the backend servers of one service in one region. */
export interface ServiceUseReport {
	readonly service: string;
	readonly region: string;
	readonly callsInProgress: number;
	/** Calls sent there since the process started. */
	readonly callsPlaced: number;
	/** What the whole fleet uses, where this instance counts the slots. */
	readonly slots?: SlotUseReport;
}

/** Slots of one service in one region, as the instance that counts them knows them. */
export interface SlotUseReport {
	readonly countedBy: string;
	readonly inUse: number;
	/** Calls that the servers have proven they can run at once. */
	readonly proven: number;
}

/** Answer to `GET /v1/status` at an instance's listener for operators. */
export interface StatusReport {
	readonly instance: string;
	readonly failureDomain: string;
	/** Absent before the first version arrived. */
	readonly configurationVersion?: number;
	readonly newestKnownVersion: number;
	/** Whether this instance watches the key-value service for the others of its failure domain. */
	readonly isWatcher: boolean;
	/** Time since the instance knew that its version is the newest, in milliseconds. */
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
	/** The figure or object that it gave. */
	readonly result: string;
}

/** An entry instance and why a client is told of it or not. */
export interface ExplainedEntry {
	readonly instance: string;
	readonly failureDomain: string;
	/** Expected one-way delay to the client's failure domain, in milliseconds. */
	readonly delayMs?: number;
	readonly load: number;
	/** Place in the answer, from 1; absent when it is not named. */
	readonly place?: number;
	readonly reason: string;
}

/** A backend server and what the placement knows of it. */
export interface ExplainedServer {
	readonly backendServer: string;
	readonly site: string;
	readonly region: string;
	/** Place of its region in the order in which regions are tried, from 1; absent when no rule leads there. */
	readonly regionOrder?: number;
	readonly slots: number;
	/** Calls that the reporting instance has at it. */
	readonly callsInProgress: number;
	/** Slots in use by the whole fleet, where the instance counts them. */
	readonly slotsInUse?: number;
	/** Calls that the server has proven it can run at once, where the instance counts them. */
	readonly provenSlots?: number;
	/** Whether a call could be sent there by the configuration. */
	readonly isCandidate: boolean;
	readonly reason: string;
}

/** Answer to `GET /v1/explain` at an instance's listener for operators. */
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
