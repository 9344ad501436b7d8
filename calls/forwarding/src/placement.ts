/** Contract of placement: the assignment of a call to a slot of a backend server. */
import type {Either} from 'purify-ts';
import type {
	BackendServer, BackendServerName, FailureDomainName, Refusal, Service, SiteName,
} from '@pomelopick/core.types';
import type {Cancellation} from './cancellation.js';

/** Input of a placement decision. */
export interface PlaceCallOptions {
	readonly service: Service;
	/** Address of the caller. */
	readonly caller: string;
	/** Site nearest to the caller; undefined when unknown. */
	readonly callerSite: SiteName | undefined;
	/** Monotonic time by which the caller must have its response, in milliseconds. */
	readonly deadlineMs: number;
	/** Backend servers and failure domains to avoid, such as those of earlier attempts of the call. */
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	/** Whether another attempt of the call is still running. */
	readonly isHedge: boolean;
	readonly cancellation: Cancellation;
}

/** How an attempt ended, reported when its slot is released. */
export type AttemptEnd = 'answered' | 'shed' | 'leaving' | 'failed' | 'connect-failed' | 'timed-out' | 'cancelled';

/** A slot of a backend server that is occupied by one attempt. */
export interface Placement {
	readonly server: BackendServer;
	readonly failureDomain: FailureDomainName;
	/** Why this server was selected, for the call's log line. */
	readonly why: string;
	/** Time spent waiting for the slot, in milliseconds. */
	readonly waitedMs: number;
	/** Releases the slot; called once. */
	release(end: AttemptEnd): void;
}

/** Gets a slot of a backend server for a call, or refuses the call. Never throws. */
export type PlaceCall = (options: PlaceCallOptions) => Promise<Either<Refusal, Placement>>;
