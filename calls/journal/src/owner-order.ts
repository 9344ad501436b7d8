/** Order of the instances that may own a shard. */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {Instance, InstanceId} from '@pomelopick/core.types';

/** Options of {@link orderOwners}. */
export interface OrderOwnersOptions {
	readonly shard: number;
	readonly instances: readonly Instance[];
	/** Instances that recently did not respond; they come last. */
	readonly suspects: ReadonlySet<InstanceId>;
}

/** Orders the instances for a shard by rendezvous hashing. Leaving instances come after live ones, suspects after both. */
export function orderOwners({shard, instances, suspects}: OrderOwnersOptions): readonly Instance[] {
	const rank = ({id, state}: Instance): number => suspects.has(id) ? 2 : (state === 'leaving' ? 1 : 0);
	return [...chooseOwners({key: `journal/${shard}`, instances, count: instances.length})].sort((left, right) => rank(left) - rank(right));
}

/** Whether an instance comes first in the order of a shard. Also true when no instance is known. */
export function isFirstOwner({shard, self, instances}: {readonly shard: number; readonly self: InstanceId; readonly instances: readonly Instance[]}): boolean {
	const [first] = orderOwners({shard, instances, suspects: new Set()});
	return first === undefined || first.id === self;
}
