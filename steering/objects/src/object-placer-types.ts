/** Options and results of {@link ObjectPlacer}. */
import type {
	BackendServerName, FailureDomainName, RegionName, RegisteredServer, Route, ServiceName,
} from '@pomelopick/core.types';
import type {
	KnownServer, ObservationTable, ServerStart, ServerTable,
} from '@pomelopick/steering.servers';
import type {PlacementRefusal} from './placement-refusal.js';
import type {RegionShares} from './region-plan.js';

/** New shares of the requests of this region's callers by region, and what they respond to. */
export interface SharesChange {
	readonly service: ServiceName;
	readonly shares: RegionShares;
	/** Usable slots by region. */
	readonly slots: ReadonlyMap<RegionName, number>;
	/** Measured requests in flight for each slot by region; absent where it is not known. */
	readonly loads: ReadonlyMap<RegionName, number>;
}

/** Options of {@link ObjectPlacer}. */
export interface ObjectPlacerOptions {
	readonly servers: ServerTable;
	readonly observations: ObservationTable;
	/** Failure domain and region of this instance. */
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	/** Region of each failure domain. */
	readonly regions: ReadonlyMap<FailureDomainName, RegionName>;
	/**
	 * Monotonic time until which a server wants no requests, as it reported to this instance, in milliseconds; infinite
	 * when it is leaving, undefined when it reported neither a pause nor that it is leaving.
	 */
	readonly unavailableUntilMs: (options: {readonly server: ServerStart; readonly nowMs: number}) => number | undefined;
	/** Whether a server cannot be reached from this instance. */
	readonly isUnreachable: (server: RegisteredServer) => boolean;
	/** Number from 0 up to 1. */
	readonly random: () => number;
	/** Whether the rate limits of a server leave room for a request of this instance now, perhaps after asking the owner of the server; true for servers without a limit. */
	readonly mayTakeRate: (options: {readonly known: KnownServer; readonly mayAsk: boolean; readonly nowMs: number}) => boolean;
	/** Monotonic time at which a server that names a rate limit may get another request of this instance, in milliseconds; undefined for other servers. */
	readonly rateClosedUntilMs: (known: KnownServer) => number | undefined;
	/** Whether the requests for all services are spread over the regions, also where servers report no work factor; not by default. */
	readonly spreadsAll?: () => boolean;
	/** Called when the shares by which a service is spread over the regions have changed noticeably. */
	readonly onSharesChanged?: (change: SharesChange) => void;
}

/** Expected times of a request at a server, from responses to recent requests of its route. */
export interface ReliableTimes {
	/** Expected wait for a slot, in milliseconds. */
	readonly waitMs: number;
	/** Expected time of the work, in milliseconds. */
	readonly workMs: number;
}

/** What an admission decision knows about a request at the server that was chosen for it. */
export interface PlacementEstimate {
	/** Expected wait for a slot of the server, in milliseconds. */
	readonly waitMs: number;
	/** Expected time at the server, including the wait, in milliseconds. */
	readonly expectedMs: number;
	/** Time from which on the placer refuses to wait, in milliseconds. */
	readonly maxWaitMs: number;
	/** Undefined: the expected times are unknown or doubtful. */
	readonly reliableTimes: ReliableTimes | undefined;
}

/**
 * Why a request went elsewhere than to the first server of its region in the ranking: by the region's shares, because the
 * first server is above its share of the load, or because the object is divided among several servers.
 */
export type UnevenDecision = 'other-region' | 'passed-on' | 'divided';

/** Options of {@link ObjectPlacer.place}. */
export interface PlaceObjectOptions {
	readonly route: Route;
	readonly service: ServiceName;
	/** Object that the request concerns; undefined when there is none. */
	readonly object: string | undefined;
	/** Servers that this request was already sent to. */
	readonly avoid: ReadonlySet<BackendServerName>;
	/** Whether owners of limited servers may be asked for a permit; not by default. */
	readonly mayAsk?: boolean;
	/** Monotonic time after which a response is no longer of use, in milliseconds. */
	readonly deadlineMs: number;
	/** Decides whether the request is refused although a server was found; undefined: it is not. */
	readonly admit?: ((estimate: PlacementEstimate) => PlacementRefusal | undefined) | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The server chosen for a request. */
export interface ObjectPlacement {
	readonly known: KnownServer;
	/** Whether the server is expected to have the object in memory. */
	readonly isWarm: boolean;
	/** Expected wait for a slot of the server, in milliseconds. */
	readonly waitMs: number;
	/** Expected time at the server, including the wait, in milliseconds. */
	readonly expectedMs: number;
	/** Work factor of the server that the expected time includes: time of work as a multiple of the usual time. */
	readonly workFactor: number;
}

/** Options of {@link ObjectPlacer.recordAnswer}. */
export interface RecordAnswerOptions extends Pick<PlaceObjectOptions, 'route' | 'object'> {
	readonly placement: ObjectPlacement;
	/** Time from sending the request to its response, in milliseconds. */
	readonly heldMs: number;
	/** Work factor that the server reported with the response: time of work as a multiple of the usual time; 1 if absent. */
	readonly workFactor?: number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}
