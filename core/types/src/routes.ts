/** Routes from callers' requests to services, as operators publish them on the users' platform. */
import type {Organisation} from './organisations.js';
import type {RegionName, RouteName, ServiceName} from './ids.js';

/** How often a request of a route may be executed: any number of times, or at most once. */
export type Repeatability = 'idempotent' | 'at-most-once';

/** A service that gets a share of the traffic of a route. */
export interface RouteTarget {
	readonly service: ServiceName;
	/** Share of the route's requests, relative to the other targets. */
	readonly weight: number;
}

/** A route from requests with a host and a path prefix to one or several services. */
export interface Route {
	readonly name: RouteName;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly repeatability: Repeatability;
	/** Maximum time until the caller gets a response, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which a response is of full use to its caller, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	/** One service, or several that split the traffic. */
	readonly targets: readonly RouteTarget[];
	/** Maximum number of backend servers that one request may be sent to. */
	readonly maxServers: number;
	/** Whether a backend server is faster for an object that it handled recently. */
	readonly prefersWarmServers: boolean;
	/** Regions that may execute and store the requests; empty: all. */
	readonly homeRegions: readonly RegionName[];
	/** Whether callers need no key although the configuration has organisations. */
	readonly isPublic: boolean;
	/** Whether requests have large bodies. */
	readonly isUpload: boolean;
}

/** A service that is the target of routes. */
export interface RoutedService {
	readonly name: ServiceName;
	readonly healthPath: string;
	/** Number of connections that one backend server accepts from all instances together. */
	readonly maxConnections: number;
	/** Requests per second that a backend server can handle while it warms up; undefined when it needs no warm-up. */
	readonly warmupRequestsPerSecond: number | undefined;
}

/** Limits on the size and duration of what a caller sends. */
export interface CallerLimits {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Maximum time until the headers of a request have arrived, in milliseconds. */
	readonly headerTimeoutMs: number;
	/** Maximum time for which a connection may be idle, in milliseconds. */
	readonly idleTimeoutMs: number;
}

/** One version of all routes and services. */
export interface RouteSet {
	/** Grows with each publish, in uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
	/** Organisations to which callers belong; undefined: callers are not authenticated. */
	readonly organisations: readonly Organisation[] | undefined;
	/** Messages for the log about values that are unknown to this build or unreadable, and that it handles in the safe way. */
	readonly warnings: readonly string[];
}
