/** Slots and servers as the book of slots takes them. */
import type {BackendServerName, FailureDomainName, InstanceId} from '@pomelopick/core.types';
import type {SlotEnd} from './concurrency-limit.js';

/** A backend server of the group. */
export interface TrackedServer {
	readonly name: BackendServerName;
	readonly failureDomain: FailureDomainName;
	readonly slots: number;
	/** Set to leave by the configuration. */
	readonly isDrained: boolean;
}

/** A slot as its holder names it. */
export interface SlotLease {
	readonly slotId: string;
	readonly server: BackendServerName;
	/** Monotonic time by which the slot comes back whatever happens, in milliseconds. */
	readonly expiresAtMs: number;
}

/** Options of {@link SlotTracker.tryTake}. */
export interface TryTakeOptions {
	readonly slotId: string;
	readonly asker: InstanceId;
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	readonly expiresAtMs: number;
	readonly nowMs: number;
	/** Part of each server's limit that may be used, from 0 to 1. */
	readonly limitShare: number;
}

/** Options of {@link SlotTracker.release}. */
export interface ReleaseOptions {
	readonly slotId: string;
	readonly end: SlotEnd;
	readonly nowMs: number;
	/** Whether a renewal that was sent before the end may still arrive; not when asker and book are in one process. */
	readonly mayBeNamedLater?: boolean;
}
