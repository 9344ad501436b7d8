/** Options and statistics of a membership. */
import type {EitherAsync} from 'purify-ts';
import type {Endpoint, Instance} from '@pomelopick/core.types';
import type {PeerCaller} from '@pomelopick/peer.transport';
import type {HeldVersion, RegionOf} from './member.js';

/** Options of a membership. */
export interface MembershipOptions {
	readonly clients: PeerCaller;
	/** Reads the platform's list. */
	readonly readList: () => EitherAsync<{readonly message: string}, readonly Instance[]>;
	/** Endpoints of peers to contact while this instance has nobody to observe. */
	readonly seeds?: readonly Endpoint[];
	readonly regionOf: RegionOf;
	/** Utilisation of the call limit, from 0 to 1. */
	readonly load: () => number;
	/** The active configuration version of this instance. */
	readonly heldVersion: () => HeldVersion;
	/** Called with the configuration version in each message from a peer. */
	readonly onPeerVersion: (peer: ReceivedPeerVersion) => void;
	readonly onFailure: (message: string) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds since the epoch. */
	readonly wallClock: () => number;
	/** Number from 0 up to 1 that spreads heartbeats and reads of the list over time. */
	readonly random: () => number;
}

/** The configuration version in a message from a peer. */
export interface ReceivedPeerVersion {
	readonly endpoint: Endpoint;
	/** For a response, the age includes the round trip time. */
	readonly held: HeldVersion;
	/** Whether the age is an upper bound. It is not one for a peer's request, which may have been delayed for any time. */
	readonly isAgeBounded: boolean;
}

/** Counts of this instance's exchanges since the start. */
export interface MembershipStatistics {
	readonly exchanges: number;
	/** Records and observations sent. */
	readonly updatesSent: number;
	/** Exchange requests that asked for the complete state. */
	readonly everythingSent: number;
}
