/** Which instances own a shard, best first, by rendezvous hashing (Thaler and Ravishankar, 1998). */
import {createHash} from 'node:crypto';
import type {Instance, InstanceId} from '@pomelopick/core.types';

const WEIGHT_HEX_DIGITS = 12;

/** Options of {@link orderOwners}. */
export interface OrderOwnersOptions {
	readonly shard: number;
	readonly instances: readonly Instance[];
	/** Instances that lately gave no answer; they come last. */
	readonly suspects: ReadonlySet<InstanceId>;
}

/** Orders the live instances for a shard. Instances that leave come after live ones, suspects after both. */
export function orderOwners({shard, instances, suspects}: OrderOwnersOptions): readonly Instance[] {
	const rank = ({id, state}: Instance): number => suspects.has(id) ? 2 : (state === 'leaving' ? 1 : 0);
	return instances
		.map(instance => ({instance, rank: rank(instance), weight: weigh({shard, id: instance.id})}))
		.sort((left, right) => left.rank - right.rank || right.weight - left.weight)
		.map(({instance}) => instance);
}

function weigh({shard, id}: {readonly shard: number; readonly id: InstanceId}): number {
	return Number.parseInt(createHash('sha256').update(`${shard}/${id}`).digest('hex').slice(0, WEIGHT_HEX_DIGITS), 16);
}
