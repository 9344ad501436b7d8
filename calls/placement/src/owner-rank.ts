/** Ranks the instances that may own a group of slots. */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {ConfigurationSet, Instance} from '@pomelopick/core.types';
import type {SlotGroupKey} from './slot-owner.js';

/** Options of {@link rankOwners}. */
export interface RankOwnersOptions {
	readonly group: SlotGroupKey;
	readonly instances: readonly Instance[];
	readonly set: ConfigurationSet;
}

/** Caches the ranking of each group until the instances or the configuration change. */
export class OwnerRankCache {
	#instances: readonly Instance[] = [];
	#set: ConfigurationSet | undefined;
	readonly #ranks = new Map<string, readonly Instance[]>();

	/** Returns the live instances in rank order, the owner of the group first. */
	rank({group, instances, set}: RankOwnersOptions): readonly Instance[] {
		const isSame = set === this.#set && (instances === this.#instances || areSame(instances, this.#instances));
		if (!isSame) {
			this.#ranks.clear();
			this.#instances = instances;
			this.#set = set;
		}

		const key = keyOf(group);
		const ranked = this.#ranks.get(key) ?? rankOwners({group, instances, set});
		this.#ranks.set(key, ranked);
		return ranked;
	}
}

/** Ranks live instances by rendezvous hashing, the owner first; instances in the group's region come before all others. */
export function rankOwners({group, instances, set}: RankOwnersOptions): readonly Instance[] {
	const regionByDomain = new Map(set.failureDomains.map(({name, region}) => [name, region]));
	const live = instances.filter(({state}) => state === 'live');
	const isInRegion = ({failureDomain}: Instance): boolean => regionByDomain.get(failureDomain) === group.region;
	const rank = (candidates: readonly Instance[]): readonly Instance[] => chooseOwners({key: keyOf(group), instances: candidates, count: candidates.length});
	return [...rank(live.filter(instance => isInRegion(instance))), ...rank(live.filter(instance => !isInRegion(instance)))];
}

function areSame(left: readonly Instance[], right: readonly Instance[]): boolean {
	return left.length === right.length && left.every((instance, index) => instance === right[index]);
}

function keyOf({service, region}: SlotGroupKey): string {
	return `slots/${service}/${region}`;
}
