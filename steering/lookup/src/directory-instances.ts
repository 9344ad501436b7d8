/** Chooses the instances that a caller of the users' platform is told to connect to. */
import type {FailureDomainName, RegionName} from '@pomelopick/core.types';

/** Instances that an answer names at most. */
const MAX_INSTANCES = 64;

/** An instance that may be named. */
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
	/** Regions that may hold the requests of the caller's host, each list for one of its routes; empty lists allow all. */
	readonly homeRegions: ReadonlyArray<readonly RegionName[]>;
}

/**
 * The instances of the caller's own region; while there are none, those of the regions that all routes of its host
 * allow, and while there are none of these either, all.
 */
export function chooseDirectoryInstances<Candidate extends PlacedInstance>({instances, region, homeRegions}: ChooseDirectoryInstancesOptions<Candidate>): readonly Candidate[] {
	const near = instances.filter(instance => instance.region === region);
	const allowed = instances.filter(instance => homeRegions.every(homes => homes.length === 0 || homes.includes(instance.region)));
	const chosen = [near, allowed, instances].find(list => list.length > 0) ?? [];
	return [...chosen].sort((left, right) => left.id < right.id ? -1 : 1).slice(0, MAX_INSTANCES);
}
