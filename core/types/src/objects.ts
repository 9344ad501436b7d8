/** The named objects that operators publish as one configuration. */
import type {
	BackendServerName, DrainName, FailureDomainName, LinkName, RegionName, RuleName, ServiceName, ShiftName, SiteName,
} from './ids.js';

/** A region: failure domains that are close to each other. */
export interface Region {
	readonly name: RegionName;
}

/** A failure domain: what fails together. */
export interface FailureDomain {
	readonly name: FailureDomainName;
	readonly region: RegionName;
}

/** A site: a place inside a failure domain where backend servers stand. */
export interface Site {
	readonly name: SiteName;
	readonly failureDomain: FailureDomainName;
}

/** A link between two regions, shared by all traffic in both directions. */
export interface Link {
	readonly name: LinkName;
	readonly between: readonly [RegionName, RegionName];
	/** Capacity each way, in megabits per second. */
	readonly megabitsPerSecond: number;
	/** One-way delay, in milliseconds. */
	readonly oneWayMs: number;
}

/** Whether a call may wait while others must not. */
export type ServicePriority = 'interactive' | 'deferrable';

/** A service that backend servers run. */
export interface Service {
	readonly name: ServiceName;
	readonly priority: ServicePriority;
	/** Deadline of a call that brings none, in milliseconds. */
	readonly defaultTimeoutMs: number;
	/** Expected size of an answer, in bytes. */
	readonly answerBytes: number;
	/** Calls that may wait at one entry instance. */
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
	/** Calls that it runs at the same time. */
	readonly slots: number;
	/** Connections that it accepts in all. */
	readonly connections: number;
}

/** A shift of a service's traffic from one region to another. */
export interface Shift {
	readonly name: ShiftName;
	readonly service: ServiceName;
	readonly from: RegionName;
	readonly to: RegionName;
	/** Most calls per second that the whole fleet may send under this shift. */
	readonly capCallsPerSecond: number;
	/** Time over which the cap is ramped up from zero, in milliseconds. */
	readonly rampMs: number;
}

/** Where a region's calls of a service may go when the region itself has no headroom. */
export interface SpillRule {
	readonly name: RuleName;
	readonly service: ServiceName;
	readonly from: RegionName;
	/** Regions in order of preference. */
	readonly to: readonly RegionName[];
	/** Shift whose cap bounds what this rule sends. */
	readonly shift?: ShiftName;
}

/** What a drain empties. */
export type DrainTarget =
	| {readonly kind: 'backendServer'; readonly name: BackendServerName}
	| {readonly kind: 'site'; readonly name: SiteName}
	| {readonly kind: 'failureDomain'; readonly name: FailureDomainName};

/** A planned stop: its target receives no new calls. */
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

/** A list of objects that may be decoded each time it is read; a plain array is one. */
export interface ObjectList<Shape> extends Iterable<Shape> {
	readonly length: number;
}

/** The whole set of objects, checked and published as one. */
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
	/** By far the longest list; instances hold it encoded. */
	readonly clientBlocks: ObjectList<ClientBlock>;
}
