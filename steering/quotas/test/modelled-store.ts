/** The store of a modelled fleet: records that are written by compare-and-swap, registrations that expire, and returns from older copies. */
import type {InstanceId} from '@pomelopick/core.types';
import type {ObservedRecord, ShardRecord, ShardWrite} from '@pomelopick/steering.quotas';

export const FIRST_ERA = 1;
/** Factor of the era in an index: more than the writes of any test, so that an index is higher than those of earlier eras. */
const REVISIONS_PER_ERA = 1_000_000_000;
/** Time to live of a registration, in milliseconds. */
const LEASE_MS = 4800;
/** Age of the copies from which the store returns, in milliseconds. */
const COPY_AGE_MS = 8000;

interface StoredRecord {
	readonly record: ShardRecord;
	/** Number of the write in its era. */
	readonly revision: number;
}

interface StoreState {
	/** Incremented with each return from a copy. */
	era: number;
	/** Number of writes in this state. */
	revision: number;
	/** By shard. */
	readonly records: Map<number, StoredRecord>;
	/** Time at which the registration of each instance expires, in milliseconds. */
	readonly leases: Map<InstanceId, number>;
}

/** The record of a shard as an instance reads it. */
export interface ModelledRecord extends ObservedRecord {
	readonly shard: number;
}

/** The store, with copies of earlier states. */
export class ModelledStore {
	isAvailable = true;
	state: StoreState = {
		era: FIRST_ERA, revision: 0, records: new Map(), leases: new Map(),
	};

	readonly #copies: Array<{readonly atMs: number; readonly state: StoreState}> = [];

	/** Ends the registrations that have expired, and copies the state. */
	step(nowMs: number): void {
		for (const [id, endMs] of this.state.leases) {
			if (nowMs >= endMs) {
				this.state.leases.delete(id);
			}
		}

		this.#copies.push({atMs: nowMs, state: copyOf(this.state)});
		while (this.#copies.length > 1 && this.#copies[0]!.atMs < nowMs - COPY_AGE_MS) {
			this.#copies.shift();
		}
	}

	/** Replaces the state by the oldest copy, in a new era. */
	returnFromCopy(): void {
		const {era} = this.state;
		this.state = copyOf(this.#copies[0]?.state ?? this.state);
		this.state.era = era + 1;
		this.#copies.length = 0;
	}

	/** Lists the instances that are registered. */
	listInstances(): ReadonlyArray<{readonly id: InstanceId}> {
		return [...this.state.leases.keys()].map(id => ({id}));
	}

	/** Registers an instance, or renews its registration. */
	register({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): void {
		this.state.leases.set(id, nowMs + LEASE_MS);
	}

	/** Ends the registration of an instance. */
	unregister(id: InstanceId): void {
		this.state.leases.delete(id);
	}

	/** Lists the record of each shard that was claimed. */
	listRecords(): readonly ModelledRecord[] {
		const {era, records} = this.state;
		return [...records].map(([shard, {record, revision}]) => ({shard, record, index: toIndex({era, revision})}));
	}

	/** Writes a record by compare-and-swap; returns the index of the write, undefined when the record is not the expected one. */
	write({shard, write: {record, expectedIndex}}: {readonly shard: number; readonly write: ShardWrite}): number | undefined {
		const {era, records} = this.state;
		const revision = records.get(shard)?.revision;
		if (expectedIndex !== (revision === undefined ? 0 : toIndex({era, revision}))) {
			return undefined;
		}

		this.state.revision += 1;
		records.set(shard, {record, revision: this.state.revision});
		return toIndex({era, revision: this.state.revision});
	}
}

function copyOf({era, revision, records, leases}: StoreState): StoreState {
	return {
		era, revision, records: new Map(records), leases: new Map(leases),
	};
}

/** The index of a write: compared with those of earlier eras, a revision alone would repeat. */
function toIndex({era, revision}: {readonly era: number; readonly revision: number}): number {
	return (era * REVISIONS_PER_ERA) + revision;
}
