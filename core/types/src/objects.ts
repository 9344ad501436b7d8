/** The objects that operators publish together as one configuration. */
import type {
	BackendServerName, DrainName, FailureDomainName, LinkName, RegionName, RuleName, ServiceName, ShiftName, SiteName,
} from './ids.js';

/** A region: failure domains that are close to each other. */
export interface Region {
	readonly name: RegionName;
}

/** A failure domain: a part of a region that can fail as a whole. */
export interface FailureDomain {
	readonly name: FailureDomainName;
	readonly region: RegionName;
}

/** A site: a location of backend servers inside a failure domain. */
export interface Site {
	readonly name: SiteName;
	readonly failureDomain: FailureDomainName;
}

/** A link between two regions, shared by all traffic in both directions. */
export interface Link {
	readonly name: LinkName;
	readonly between: readonly [RegionName, RegionName];
	/** Capacity in each direction, in megabits per second. */
	readonly megabitsPerSecond: number;
	/** One-way delay, in milliseconds. */
	readonly oneWayMs: number;
}

/** Whether calls of a service are urgent, or may be deferred in favour of urgent ones. */
export type ServicePriority = 'interactive' | 'deferrable';

/** A service that backend servers run. */
export interface Service {
	readonly name: ServiceName;
	readonly priority: ServicePriority;
	/** Timeout of a call that specifies none, in milliseconds. */
	readonly defaultTimeoutMs: number;
	/** Expected size of an answer, in bytes. */
	readonly answerBytes: number;
	/** Maximum number of calls that wait at one entry instance. */
	readonly queueCalls: number;
}

/** A backend server. */
export interface BackendServer {
	readonly name: BackendServerName;
	readonly service: ServiceName;
	readonly site: SiteName;
	/** IP address. */
	readonly address: string;
	readonly port: number;
	/** Number of calls that it runs concurrently. */
	readonly slots: number;
	/** Number of connections that it accepts from all instances together. */
	readonly connections: number;
}

/** A shift of a service's traffic from one region to another. */
export interface Shift {
	readonly name: ShiftName;
	readonly service: ServiceName;
	readonly from: RegionName;
	readonly to: RegionName;
	/** Maximum number of calls per second that the whole fleet may send under this shift. */
	readonly capCallsPerSecond: number;
	/** Time over which the cap is ramped up from zero, in milliseconds. */
	readonly rampMs: number;
}

/** Regions to which calls of a service may go when their own region has no headroom. */
export interface SpillRule {
	readonly name: RuleName;
	readonly service: ServiceName;
	readonly from: RegionName;
	/** Regions in order of preference. */
	readonly to: readonly RegionName[];
	/** Shift whose cap limits the calls of this rule. */
	readonly shift?: ShiftName;
}

/** The target of a drain. */
export type DrainTarget =
	| {readonly kind: 'backendServer'; readonly name: BackendServerName}
	| {readonly kind: 'site'; readonly name: SiteName}
	| {readonly kind: 'failureDomain'; readonly name: FailureDomainName};

/** A drain for a planned stop: its target gets no new calls. */
export interface Drain {
	readonly name: DrainName;
	readonly target: DrainTarget;
}

/** A block of client addresses and the site nearest to it. */
export interface ClientBlock {
	/** IPv4 or IPv6 prefix in CIDR notation. */
	readonly prefix: string;
	readonly site: SiteName;
}

/** A list of objects that may be decoded on each iteration. An array is one too. */
export interface ObjectList<Shape> extends Iterable<Shape> {
	readonly length: number;
}

/** The whole set of objects, which is validated and published as one. */
export interface ConfigurationSet {
	readonly regions: readonly Region[];
	readonly failureDomains: readonly FailureDomain[];
	readonly sites: readonly Site[];
	readonly links: readonly Link[];
	readonly services: readonly Service[];
	readonly backendServers: readonly BackendServer[];
	readonly shifts: readonly Shift[];
	readonly spillRules: readonly SpillRule[];
	readonly drains: readonly Drain[];
	/** By far the longest list; instances keep it encoded in memory. */
	readonly clientBlocks: ObjectList<ClientBlock>;
}
