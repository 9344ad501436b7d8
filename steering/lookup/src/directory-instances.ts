/** Chooses the instances that the directory returns to a caller of the users' platform. */
import type {FailureDomainName, RegionName} from '@pomelopick/core.types';
import {chooseByCapacity} from './instance-shares.js';
import type {SizedInstance} from './instance-shares.js';

/** Maximum number of instances in a response. */
const MAX_INSTANCES = 64;

/** An instance that may be returned. */
export interface PlacedInstance extends SizedInstance {
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
	/** Whether it states that it takes no further requests for now. */
	readonly isFull?: boolean | undefined;
}

/** Options of {@link chooseDirectoryInstances}. */
export interface ChooseDirectoryInstancesOptions<Candidate extends PlacedInstance> {
	readonly instances: readonly Candidate[];
	/** Region of the caller. */
	readonly region: RegionName;
	/** Regions that may run the requests of the caller's host, one list for each of its routes; an empty list allows all regions. */
	readonly homeRegions: ReadonlyArray<readonly RegionName[]>;
	/** What tells the caller from others. */
	readonly callerKey: string;
}

/**
 * Returns the instances of the caller's region. If there are none, returns those of the regions that all routes of its
 * host allow, and if there are none of these either, all instances. Leaves out full instances while there are others,
 * and lists instances of uneven capacity in proportion to it.
 */
export function chooseDirectoryInstances<Candidate extends PlacedInstance>({instances, region, homeRegions, callerKey}: ChooseDirectoryInstancesOptions<Candidate>): readonly Candidate[] {
	const inRegion = instances.filter(instance => instance.region === region);
	const allowed = instances.filter(instance => homeRegions.every(homes => homes.length === 0 || homes.includes(instance.region)));
	const chosen = [inRegion, allowed, instances].find(list => list.length > 0) ?? [];
	const free = chosen.filter(({isFull}) => isFull !== true);
	const listed = chooseByCapacity({instances: free.length > 0 ? free : chosen, callerKey});
	return [...listed].sort((left, right) => left.id < right.id ? -1 : 1).slice(0, MAX_INSTANCES);
}
