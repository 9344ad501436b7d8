/** Types for what this instance knows about the instances of the fleet. */
import type {
	FailureDomainName, Instance, InstanceId, RegionName,
} from '@pomelopick/core.types';

/** Region of a failure domain; undefined while no configuration names it. */
export type RegionOf = (failureDomain: FailureDomainName) => RegionName | undefined;

/** One instance in this instance's view. */
export interface Member {
	readonly instance: Instance;
	/** Wall-clock time of its start, in milliseconds; 0 when only the platform's list names it. */
	readonly incarnation: number;
	/** False when enough of its observers find that it cannot be reached. */
	readonly alive: boolean;
	/** True when its whole region cannot be reached from here, so that nothing can be said about the instance itself. */
	readonly isolated: boolean;
	/** Utilisation of its call limit, from 0 to 1. */
	readonly load: number;
}

/** What an instance reports about itself. */
export interface MemberRecord {
	readonly instance: Instance;
	/** Wall-clock time of its start, in milliseconds. */
	readonly incarnation: number;
	/** Once true, it stays true for the incarnation. */
	readonly leaving: boolean;
	/** Grows with each new load of an incarnation. */
	readonly loadSequence: number;
	/** Utilisation of its call limit, in percent. */
	readonly loadPercent: number;
}

/** What one observer found about one subject, the instance that it observes. */
export interface Observation {
	readonly subject: InstanceId;
	readonly subjectIncarnation: number;
	readonly observer: InstanceId;
	/** Grows with each observation of this observer, also across its restarts. */
	readonly sequence: number;
	readonly unreachable: boolean;
	/** The subject's machine refused the connection, so no process listens there. */
	readonly refused: boolean;
}

/** The active configuration version of an instance. */
export interface HeldVersion {
	/** 0 when there is none. */
	readonly version: number;
	/** Digest of the root, in hexadecimal. */
	readonly digest: string;
	/** Time since the key-value service was last known to name this version as the newest, in milliseconds. */
	readonly ageMs: number;
}

/** Records and observations that one message sends to another instance; `News` on the wire. */
export interface MembershipUpdates {
	readonly records: readonly MemberRecord[];
	readonly observations: readonly Observation[];
}
