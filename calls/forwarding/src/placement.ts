/** How a call is bound to a backend server. */
import type {Either} from 'purify-ts';
import type {
	BackendServer, BackendServerName, FailureDomainName, Refusal, Service, SiteName,
} from '@pomelopick/core.types';
import type {Cancellation} from './cancellation.js';

/** What a placement decision may look at. */
export interface PlaceCallOptions {
	readonly service: Service;
	/** Address of the caller. */
	readonly caller: string;
	/** Site nearest to the caller, where known. */
	readonly callerSite: SiteName | undefined;
	/** Monotonic time by which the call must have its answer, in milliseconds. */
	readonly deadlineMs: number;
	/** Servers and failure domains that already failed this call. */
	readonly avoidServers: ReadonlySet<BackendServerName>;
	readonly avoidDomains: ReadonlySet<FailureDomainName>;
	/** Whether another attempt of the call still runs. */
	readonly isHedge: boolean;
	readonly cancellation: Cancellation;
}

/** How an attempt ended, told to the placement that it used. */
export type AttemptEnd = 'answered' | 'shed' | 'leaving' | 'failed' | 'connect-failed' | 'timed-out' | 'cancelled';

/** A slot of a backend server, held for one attempt. */
export interface Placement {
	readonly server: BackendServer;
	readonly failureDomain: FailureDomainName;
	/** Why this server, for the call's log line. */
	readonly why: string;
	/** Time spent waiting for it, in milliseconds. */
	readonly waitedMs: number;
	/** Gives the slot back; called once. */
	release(end: AttemptEnd): void;
}

/** Binds a call to a backend server, or refuses it. Never throws. */
export type PlaceCall = (options: PlaceCallOptions) => Promise<Either<Refusal, Placement>>;
