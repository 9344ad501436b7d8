/** Spreads callers over instances of uneven capacity by listing small instances to a part of the callers only. */
import {hashTextToNumber, mixWeight} from '@pomelopick/core.rendezvous';
import type {InstanceCapacity} from '@pomelopick/core.types';

/** Ratio of the capacities of two instances of a list up to which all of them are listed to each caller. */
const MAX_EVEN_RATIO = 2;
/** Minimum number of instances that a caller is given, so that it has another one when one ends. */
const MIN_LISTED = 3;
/** Number of values of a hash. */
const HASHES = 2 ** 32;

/** An instance whose capacity may be known. */
export interface SizedInstance {
	readonly id: string;
	/** Undefined: not stated, as by older builds. */
	readonly capacity?: InstanceCapacity | undefined;
}

/** Options of {@link chooseByCapacity}. */
export interface ChooseByCapacityOptions<Candidate extends SizedInstance> {
	readonly instances: readonly Candidate[];
	/** What tells a caller from others; the same key gets the same instances. */
	readonly callerKey: string;
}

/**
 * Chooses the instances that are listed to a caller, who picks one of them at random. It responds to requests of many
 * callers: an instance is listed to a share of them that is its capacity divided by the largest one, so that the requests
 * that it gets are in proportion to its capacity.
 *
 * Whether an instance is listed depends on the caller, the instance and its capacity relative to the largest only, so
 * that the list of a caller does not change when other instances join or leave.
 */
export function chooseByCapacity<Candidate extends SizedInstance>({instances, callerKey}: ChooseByCapacityOptions<Candidate>): readonly Candidate[] {
	const weights = weigh(instances);
	const largest = Math.max(...weights);
	if (instances.length <= MIN_LISTED || largest <= Math.min(...weights) * MAX_EVEN_RATIO) {
		return instances;
	}

	const keyHash = hashTextToNumber(callerKey);
	const ranked = instances
		.map((instance, index) => {
			const part = (mixWeight({keyHash, ownerHash: hashTextToNumber(instance.id)}) + 1) / HASHES;
			return {instance, position: part * largest / weights[index]!};
		})
		.sort((left, right) => left.position - right.position);
	const listed = ranked.filter(({position}) => position <= 1);
	return (listed.length >= MIN_LISTED ? listed : ranked.slice(0, MIN_LISTED)).map(({instance}) => instance);
}

/**
 * Weights of instances. It is not known whether processors or links will limit the requests, so the geometric mean of both
 * is used: it keeps the error small whichever does. An instance of unknown capacity counts as the smallest known one, since
 * it must not get more than it can bear.
 */
function weigh(instances: readonly SizedInstance[]): readonly number[] {
	const known = instances.map(({capacity}) => capacity && Math.sqrt(capacity.cores * capacity.linkMbps));
	const smallest = Math.min(...known.filter(weight => weight !== undefined));
	return known.map(weight => weight ?? (Number.isFinite(smallest) ? smallest : 1));
}
