/** Requests for slots and the answers to them. */
import type {Either} from 'purify-ts';
import type {
	BackendServerName, FailureDomainName, InstanceId, RefusalReason, RegionName, Service,
} from '@pomelopick/core.types';

/** A request for a slot. */
export interface SlotRequest {
	readonly slotId: string;
	/** The requesting instance. */
	readonly asker: InstanceId;
	readonly caller: string;
	readonly fromRegion: RegionName;
	/** Maximum expected wait for a slot, in milliseconds. */
	readonly patienceMs: number;
	/** Time until the deadline of the call, in milliseconds. */
	readonly timeLeftMs: number;
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	/** Whether the request goes to this owner because a higher ranked one does not respond. */
	readonly isSubstitute: boolean;
	/** Whether this is a second attempt alongside one that is still running. */
	readonly isHedge: boolean;
	/** Whether no other region is left to try. */
	readonly isLastChoice: boolean;
}

/** A slot that was granted. */
export interface GrantedSlot {
	readonly server: BackendServerName;
	readonly waitedMs: number;
}

/** Why no slot was granted. The call was not run. */
export interface SlotRefusal {
	readonly reason: RefusalReason;
	readonly detail: string;
	readonly retryAfterMs: number;
}

/** Answer to a request for a slot. */
export type SlotAnswer = Either<SlotRefusal, GrantedSlot>;

/** Slot counts of one backend server. */
export interface ServerSlots {
	readonly server: BackendServerName;
	/** Slots in use by the whole fleet. */
	readonly slotsInUse: number;
	/** Concurrency limit that the server has shown it can serve. */
	readonly provenSlots: number;
	/** Whether the server reports that it is leaving. */
	readonly isLeaving: boolean;
}

/** State of a group, as its owner reports it. */
export interface GroupState {
	/** Free slots for calls from other regions. */
	readonly spillSlots: number;
	readonly expectedWaitMs: number;
}

/** Decides whether a call from another region may count against the cap of a shift; undefined when it may. */
export type AdmitShift = (options: {readonly service: Service; readonly from: RegionName; readonly to: RegionName}) => SlotRefusal | undefined;
