/** Routes that lead callers' requests to services, as operators publish them on the users' platform. */
import type {RegionName, RouteName, ServiceName} from './ids.js';

/** How often a request of a route may run: any number of times, or at most once. */
export type Repeatability = 'idempotent' | 'at-most-once';

/** One part of a route's traffic. */
export interface RouteTarget {
	readonly service: ServiceName;
	/** Share of the route's requests, relative to the other targets. */
	readonly weight: number;
}

/** A route. */
export interface Route {
	readonly name: RouteName;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is of full use to its caller, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** One target, or several that split the traffic. */
	readonly targets: readonly RouteTarget[];
	/** Backend servers that one request may be sent to. */
	readonly maxServers: number;
	/** Whether a backend server works faster on an object that it handled of late. */
	readonly prefersWarmServers: boolean;
	/** Regions that may run and hold the requests; empty: all. */
	readonly homeRegions: readonly RegionName[];
}

/** A service that routes lead to. */
export interface RoutedService {
	readonly name: ServiceName;
	readonly healthPath: string;
	/** Connections that one backend server takes from all instances together. */
	readonly maxConnections: number;
	/** Requests per second that a backend server bears while it warms up; undefined where it needs no warm-up. */
	readonly warmupRequestsPerSecond: number | undefined;
}

/** Limits on what a caller may send and how long it may take. */
export interface CallerLimits {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time in which the headers of a request must arrive, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Time for which a connection may be idle, in milliseconds. */
	readonly idleTimeoutMs: number;
}

/** One version of all routes. */
export interface RouteSet {
	/** Grows with each publish, in uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
}
