/** What this instance knows of the fleet's instances. */
import type {
	FailureDomainName, Instance, InstanceId, RegionName,
} from '@pomelopick/core.types';

/** Region of a failure domain; undefined while no configuration names it. */
export type RegionOf = (failureDomain: FailureDomainName) => RegionName | undefined;

/** One instance as this instance sees it. */
export interface Member {
	readonly instance: Instance;
	/** Wall-clock time of its start, in milliseconds; 0 when only the platform's list names it. */
	readonly incarnation: number;
	/** False when its observers agree that it cannot be reached. */
	readonly alive: boolean;
	/** True when its whole region cannot be reached from here, so that nothing is concluded about the instance itself. */
	readonly isolated: boolean;
	/** Part of its call limit in use, from 0 to 1. */
	readonly load: number;
}

/** What an instance says of itself. */
export interface MemberRecord {
	readonly instance: Instance;
	readonly incarnation: number;
	/** Final for an incarnation. */
	readonly leaving: boolean;
	readonly loadSequence: number;
	/** Part of its call limit in use, in percent. */
	readonly loadPercent: number;
}

/** What one observer found of one subject. */
export interface Observation {
	readonly subject: InstanceId;
	readonly subjectIncarnation: number;
	readonly observer: InstanceId;
	/** Grows with each finding of this observer, also over its restarts. */
	readonly sequence: number;
	readonly unreachable: boolean;
	/** The subject's machine refused the connection. */
	readonly refused: boolean;
}

/** Version that an instance has in force. */
export interface HeldVersion {
	/** 0 when there is none. */
	readonly version: number;
	/** Digest of the root, in hexadecimal. */
	readonly digest: string;
	/** Time since the key-value service was last known to name this version as the newest, in milliseconds. */
	readonly ageMs: number;
}

/** Records and observations to be told to another instance. */
export interface News {
	readonly records: readonly MemberRecord[];
	readonly observations: readonly Observation[];
}
