/** Chooses the instances that the directory returns to a caller of the users' platform. */
import type {FailureDomainName, RegionName} from '@pomelopick/core.types';

/** Maximum number of instances in a response. */
const MAX_INSTANCES = 64;

/** An instance that may be returned. */
export interface PlacedInstance {
	readonly id: string;
	readonly failureDomain: FailureDomainName;
	readonly region: RegionName;
}

/** Options of {@link chooseDirectoryInstances}. */
export interface ChooseDirectoryInstancesOptions<Candidate extends PlacedInstance> {
	readonly instances: readonly Candidate[];
	/** Region of the caller. */
	readonly region: RegionName;
	/** Regions that may run the requests of the caller's host, one list for each of its routes; an empty list allows all regions. */
	readonly homeRegions: ReadonlyArray<readonly RegionName[]>;
}

/**
 * Returns the instances of the caller's region. If there are none, returns those of the regions that all routes of its
 * host allow, and if there are none of these either, all instances.
 */
export function chooseDirectoryInstances<Candidate extends PlacedInstance>({instances, region, homeRegions}: ChooseDirectoryInstancesOptions<Candidate>): readonly Candidate[] {
	const inRegion = instances.filter(instance => instance.region === region);
	const allowed = instances.filter(instance => homeRegions.every(homes => homes.length === 0 || homes.includes(instance.region)));
	const chosen = [inRegion, allowed, instances].find(list => list.length > 0) ?? [];
	return [...chosen].sort((left, right) => left.id < right.id ? -1 : 1).slice(0, MAX_INSTANCES);
}
