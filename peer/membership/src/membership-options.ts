/** What the membership needs and what it tells. */
import type {EitherAsync} from 'purify-ts';
import type {Endpoint, Instance} from '@pomelopick/core.types';
import type {PeerCaller} from '@pomelopick/peer.transport';
import type {HeldVersion, RegionOf} from './member.js';

/** Options of a membership. */
export interface MembershipOptions {
	readonly clients: PeerCaller;
	/** Reads the platform's list. */
	readonly readList: () => EitherAsync<{readonly message: string}, readonly Instance[]>;
	/** Endpoints of peers asked while no instance is known. */
	readonly seeds?: readonly Endpoint[];
	readonly regionOf: RegionOf;
	/** Part of the call limit in use, from 0 to 1. */
	readonly load: () => number;
	/** Version in force here. */
	readonly heldVersion: () => HeldVersion;
	/** Told of the version of every peer that is heard; its age is never taken for less than it is. */
	readonly onPeerVersion: (peer: PeerVersionHeard) => void;
	readonly onFailure: (message: string) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClock: () => number;
	/** Number from 0 up to 1 that spreads heartbeats and reads of the list over time. */
	readonly random: () => number;
}

/** The version of a peer that was heard. */
export interface PeerVersionHeard {
	readonly endpoint: Endpoint;
	/** The age includes the time that the message may have taken. */
	readonly held: HeldVersion;
	/** Whether the age is an upper bound; it is none for a peer's own request, which may have waited for any time. */
	readonly isAgeBounded: boolean;
}

/** Bytes and messages of this instance's exchanges since the start. */
export interface MembershipStatistics {
	readonly exchanges: number;
	readonly newsSent: number;
	readonly everythingSent: number;
}
