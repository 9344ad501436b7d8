/** Records that say which instance owns a shard of all quotas. */
import type {InstanceId} from '@pomelopick/core.types';

/** Number of shards into which each quota is divided: usual load is 0.625 of the quota, so three of four suffice. */
export const SHARDS = 4;

/** Numbers of all shards. */
export const shards: readonly number[] = Array.from({length: SHARDS}, (_, shard) => shard);

/**
 * What an owner may use as long as it is registered. `full`: nobody else uses the shard. `partial`: its predecessor was
 * not seen to end, and may use the rest without a connection to the store. `none`: several predecessors may.
 */
export type ShardStage = 'full' | 'partial' | 'none';

/** One run of an instance. */
export interface InstanceProcess {
	readonly id: InstanceId;
	/** Number of the process; a later process of the instance has a higher one, and starts after the earlier one has ended. */
	readonly process: number;
}

/** Record in the store that states the owner of a shard. */
export interface ShardRecord {
	/** Undefined: released by its owner. */
	readonly owner: InstanceProcess | undefined;
	/** Incremented with each claim. */
	readonly claim: number;
	/** Earlier owners that were not seen to end, and may still use the shard without a connection to the store. */
	readonly predecessors: readonly InstanceProcess[];
}

/** What the owner of a shard may use. */
export function stageOf({predecessors: {length}}: Pick<ShardRecord, 'predecessors'>): ShardStage {
	if (length === 0) {
		return 'full';
	}

	return length === 1 ? 'partial' : 'none';
}

/** Whether two processes are the same. */
export function isSameProcess(left: InstanceProcess, right: InstanceProcess): boolean {
	return left.id === right.id && left.process === right.process;
}
