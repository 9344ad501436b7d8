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

/** Keeps the ranking of each group until the instances or the configuration change. */
export class OwnerRanks {
	readonly #hash: HashText;
	#instances: readonly Instance[] = [];
	#set: ConfigurationSet | undefined;
	readonly #ranks = new Map<string, readonly Instance[]>();

	constructor({hash}: {readonly hash: HashText}) {
		this.#hash = hash;
	}

	/** Live instances, the owner of the group first. */
	rank({group, instances, set}: Omit<RankOwnersOptions, 'hash'>): readonly Instance[] {
		const isSame = set === this.#set && instances.length === this.#instances.length && instances.every((instance, index) => instance === this.#instances[index]);
		if (!isSame) {
			this.#ranks.clear();
			this.#instances = instances;
			this.#set = set;
		}

		const key = `${group.service} ${group.region}`;
		const ranked = this.#ranks.get(key) ?? rankOwners({
			group, instances, set, hash: this.#hash,
		});
		this.#ranks.set(key, ranked);
		return ranked;
	}
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
