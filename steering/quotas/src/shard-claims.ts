/** Decides which record an instance writes for a shard, and when. */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {InstanceId} from '@pomelopick/core.types';
import {isSameProcess} from './shard-record.js';
import type {InstanceProcess, ShardRecord} from './shard-record.js';

/** Time for which the owner's registration must be absent from the view, in milliseconds: a running instance writes it again sooner. */
export const ABSENCE_MS = 2000;
/** Time by which each further candidate waits longer than the one before, in milliseconds: more than a write takes to reach the views. */
const CANDIDATE_INTERVAL_MS = 1000;
/** Number of candidates that wait for {@link CANDIDATE_INTERVAL_MS} each. */
const FIRST_CANDIDATES = 4;
/** The same for all further candidates, in milliseconds: they only claim when those before are of a build without quotas. */
const FURTHER_INTERVAL_MS = 200;

/** Options of {@link claimOf}. */
export interface ClaimOptions {
	/** Newest record; undefined: the shard was never claimed. */
	readonly record: ShardRecord | undefined;
	readonly self: InstanceProcess;
}

/** The record with which an instance claims a shard that is free, or claims its own shard again. */
export function claimOf({record, self}: ClaimOptions): ShardRecord {
	const {owner, claim = 0, predecessors = []} = record ?? {};
	// A process that released the shard, or has ended, uses nothing more.
	const earlier = owner && owner.id !== self.id ? [...predecessors, owner] : predecessors;
	return {owner: self, claim: claim + 1, predecessors: earlier.filter(({id}) => id !== self.id)};
}

/** The record that says that no predecessor uses the shard any more. */
export function promotionOf(record: ShardRecord): ShardRecord {
	return {...record, predecessors: []};
}

/** The record that says that this process, and earlier ones of its instance, do not use the shard any more; undefined: it is none of the predecessors. */
export function endingOf({record, self}: {readonly record: ShardRecord; readonly self: InstanceProcess}): ShardRecord | undefined {
	const predecessors = record.predecessors.filter(({id, process}) => id !== self.id || process > self.process);
	return predecessors.length < record.predecessors.length ? {...record, predecessors} : undefined;
}

/** The record of a shard that its owner has stopped using. */
export function releaseOf(record: ShardRecord): ShardRecord {
	return {...record, owner: undefined};
}

/** Options of {@link findFreeSince}. */
export interface FreeSinceOptions {
	readonly record: ShardRecord | undefined;
	readonly self: InstanceProcess;
	/** Monotonic time since which this instance has known the record, in milliseconds. */
	readonly knownSinceMs: number;
	/** Monotonic time since which an instance is absent from the view, in milliseconds; undefined: it is registered. */
	readonly absentSinceMs: (instance: InstanceId) => number | undefined;
}

/** Monotonic time since which a shard is free for any instance, in milliseconds; undefined: it is not. */
export function findFreeSince({record, self, knownSinceMs, absentSinceMs}: FreeSinceOptions): number | undefined {
	if (!record?.owner) {
		return knownSinceMs;
	}

	const absentMs = isSameProcess(record.owner, self) ? undefined : absentSinceMs(record.owner.id);
	return absentMs === undefined ? undefined : Math.max(knownSinceMs, absentMs + ABSENCE_MS);
}

/** Options of {@link claimDelayMs}. */
export interface ClaimDelayOptions {
	readonly shard: number;
	readonly self: InstanceId;
	/** Registered instances. */
	readonly instances: ReadonlyArray<{readonly id: InstanceId}>;
	/** Owners of the other shards. */
	readonly owners: ReadonlySet<InstanceId>;
}

/** Time for which an instance waits before it claims a free shard, in milliseconds. Owners of other shards come last, so that the loss of an instance costs one shard; undefined: it is not registered. */
export function claimDelayMs({shard, self, instances, owners}: ClaimDelayOptions): number | undefined {
	const ranked = chooseOwners({key: `quota-shard-${shard}`, instances, count: instances.length});
	const ordered = [...ranked.filter(({id}) => !owners.has(id)), ...ranked.filter(({id}) => owners.has(id))];
	const rank = ordered.findIndex(({id}) => id === self);
	if (rank === -1) {
		return undefined;
	}

	return (Math.min(rank, FIRST_CANDIDATES) * CANDIDATE_INTERVAL_MS) + (Math.max(0, rank - FIRST_CANDIDATES) * FURTHER_INTERVAL_MS);
}
