/** Chooses the instances that collect the load reports of a region. */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {InstanceId, RegionName} from '@pomelopick/core.types';

/** An instance that may collect. */
export interface CollectorCandidate {
	readonly id: InstanceId;
	readonly region: RegionName;
}

/** Options of {@link chooseCollectors}. */
export interface ChooseCollectorsOptions<Candidate extends CollectorCandidate> {
	readonly region: RegionName;
	readonly instances: readonly Candidate[];
	/** Maximum number of collectors, in the order in which they are used. */
	readonly count: number;
}

/** Returns the collectors of a region. Instances with the same view choose the same ones; where views differ, sums are too small until they agree. */
export function chooseCollectors<Candidate extends CollectorCandidate>({region, instances, count}: ChooseCollectorsOptions<Candidate>): readonly Candidate[] {
	return chooseOwners({key: `server-loads/${region}`, instances: instances.filter(instance => instance.region === region), count});
}
