/** Organisations to which callers belong, as operators publish them on the users' platform. */
import type {OrganisationKey, OrganisationName, RegionName} from './ids.js';

/** Limit on the requests of an organisation over all instances together. */
export interface OrganisationQuota {
	readonly requestsPerSecond: number;
	/** Number of requests that may exceed the rate at once. */
	readonly burst: number;
}

/** An organisation. */
export interface Organisation {
	readonly name: OrganisationName;
	/** Keys with which its callers authenticate. */
	readonly keys: readonly OrganisationKey[];
	/** Priority of its requests, which replaces that of their routes; 0 is the most urgent. Undefined: that of the route. */
	readonly priority: number | undefined;
	/** Undefined: no limit. `invalid`: the limit could not be read, so that no request is served. */
	readonly quota: OrganisationQuota | 'invalid' | undefined;
	/** Regions that may execute and store its requests; empty: all. */
	readonly homeRegions: readonly RegionName[];
}
