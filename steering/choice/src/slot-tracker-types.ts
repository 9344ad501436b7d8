/** Types of the slots and servers that the slot tracker counts. */
import type {BackendServerName, FailureDomainName, InstanceId} from '@pomelopick/core.types';
import type {SlotEnd} from './concurrency-limit.js';

/** A backend server whose slots are tracked. */
export interface TrackedServer {
	readonly name: BackendServerName;
	readonly failureDomain: FailureDomainName;
	readonly slots: number;
	/** Whether a drain of the configuration covers the server. */
	readonly isDrained: boolean;
}

/** A slot in use, as the instance that holds it reports it. */
export interface SlotLease {
	readonly slotId: string;
	readonly server: BackendServerName;
	/** Monotonic time at which the slot is released in any case, in milliseconds. */
	readonly expiresAtMs: number;
}

/** Options of {@link SlotTracker.tryTake}. */
export interface TryTakeOptions {
	readonly slotId: string;
	/** Instance that requests the slot. */
	readonly asker: InstanceId;
	readonly avoidServers: ReadonlySet<BackendServerName>;
	/** Failure domains to avoid as long as another one has an available server. */
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	readonly expiresAtMs: number;
	readonly nowMs: number;
	/** Share of each server's limit that may be used, from 0 to 1. */
	readonly limitShare: number;
}

/** Options of {@link SlotTracker.release}. */
export interface ReleaseOptions {
	readonly slotId: string;
	readonly end: SlotEnd;
	readonly nowMs: number;
	/** Whether a renewal that lists the slot and was sent before the release may still arrive; false when the requesting instance and the tracker are in one process. */
	readonly mayBeRenewedLater?: boolean;
}
