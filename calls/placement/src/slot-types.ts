/** Requests for slots and their answers, as the parts of placement exchange them. */
import type {Either} from 'purify-ts';
import type {
	BackendServerName, FailureDomainName, InstanceId, RefusalReason, RegionName, Service,
} from '@pomelopick/core.types';

/** A request for a slot. */
export interface SlotRequest {
	readonly slotId: string;
	readonly asker: InstanceId;
	readonly caller: string;
	readonly fromRegion: RegionName;
	readonly patienceMs: number;
	readonly timeLeftMs: number;
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	readonly isSubstitute: boolean;
	/** A second attempt beside one that still runs. */
	readonly isHedge: boolean;
	/** No other region is left to ask. */
	readonly isLastChoice: boolean;
}

/** A slot that was handed out. */
export interface GrantedSlot {
	readonly server: BackendServerName;
	readonly waitedMs: number;
}

/** Why a slot was not handed out. Nothing was run. */
export interface SlotRefusal {
	readonly reason: RefusalReason;
	readonly detail: string;
	readonly retryAfterMs: number;
}

/** Answer to a request for a slot. */
export type SlotAnswer = Either<SlotRefusal, GrantedSlot>;

/** What an owner counts for one backend server. */
export interface ServerSlots {
	readonly server: BackendServerName;
	/** Slots that the whole fleet has in use. */
	readonly slotsInUse: number;
	/** Calls that the server has proven it can run at once. */
	readonly provenSlots: number;
	/** Whether the server says of itself that it leaves. */
	readonly isLeaving: boolean;
}

/** What an owner tells about its group. */
export interface GroupState {
	readonly spillSlots: number;
	readonly expectedWaitMs: number;
}

/** Decides whether a call from another region may count against the cap of a shift; undefined when it may. */
export type AdmitShift = (options: {readonly service: Service; readonly from: RegionName; readonly to: RegionName}) => SlotRefusal | undefined;
