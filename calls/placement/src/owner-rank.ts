/**
 * Which instances own a group of slots.
 *
 * Rendezvous hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 6(1), 1998.
 */
import type {ConfigurationSet, Instance} from '@pomelopick/core.types';
import type {SlotGroupKey} from './slot-owner.js';

/** Hashes a text to an unsigned integer. */
export type HashText = (text: string) => number;

/** Options of {@link rankOwners}. */
export interface RankOwnersOptions {
	readonly group: SlotGroupKey;
	readonly instances: readonly Instance[];
	readonly set: ConfigurationSet;
	readonly hash: HashText;
}

/** Live instances, the owner first; those of the group's region come before all others. */
export function rankOwners({group, instances, set, hash}: RankOwnersOptions): readonly Instance[] {
	const regionByDomain = new Map(set.failureDomains.map(({name, region}) => [name, region]));
	return instances
		.filter(({state}) => state === 'live')
		.map(instance => ({
			instance,
			isNear: regionByDomain.get(instance.failureDomain) === group.region,
			weight: hash(`${group.service} ${group.region} ${instance.id}`),
		}))
		.sort((left, right) => Number(right.isNear) - Number(left.isNear) || right.weight - left.weight)
		.map(({instance}) => instance);
}
