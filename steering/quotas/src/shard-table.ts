/** All shards in the view of one instance: who owns them, and which record this instance is to write next. */
import type {InstanceId} from '@pomelopick/core.types';
import {claimDelayMs, findFreeSince} from './shard-claims.js';
import {ShardOwnership} from './shard-ownership.js';
import type {ObservedRecord, ShardWrite} from './shard-ownership.js';
import {shards} from './shard-record.js';
import type {InstanceProcess, ShardRecord} from './shard-record.js';

/** Time for which the registration of a claiming instance must still exist, in milliseconds: a claim takes at most as long. */
const CLAIM_MARGIN_MS = 1000;
/** Minimum time between two shards that an instance hands over, in milliseconds, so that one of them is without an owner at a time. */
const HANDOVER_INTERVAL_MS = 3000;
/** Time for which an instance hands over no shard after nobody else took one, in milliseconds: the others are of a build without quotas. */
const HANDOVER_BACKOFF_MS = 600_000;

/** An instance that is registered. */
interface Registered {
	readonly id: InstanceId;
}

/** Options of {@link ShardTable.observe}. */
export interface ObserveShardOptions extends ObservedRecord {
	readonly shard: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ShardTable.prepareWrite}. */
export interface PrepareWriteOptions {
	readonly shard: number;
	readonly instances: readonly Registered[];
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Keeps the ownership of each shard, and the times that decide when this instance may claim one or hands one over. */
export class ShardTable {
	readonly ownerships: readonly ShardOwnership[];
	readonly #self: InstanceProcess;
	/** Monotonic time since which each record has been known, in milliseconds; empty: the store has not been read in its era. */
	readonly #knownSinceMs = new Map<number, number>();
	/** The record of each shard to which that time belongs. */
	readonly #knownRecords = new Map<number, ShardRecord | undefined>();
	/** Monotonic time since which owners are absent from the view, in milliseconds. */
	readonly #absentSinceMs = new Map<InstanceId, number>();
	#handedOver: number | undefined;
	#handoverAfterMs = Number.NEGATIVE_INFINITY;

	constructor({self}: {readonly self: InstanceProcess}) {
		this.#self = self;
		this.ownerships = shards.map(() => new ShardOwnership({self}));
	}

	/** Applies a record that was read in the store; returns whether this instance lost the shard by it. */
	observe({shard, record, index, nowMs}: ObserveShardOptions): boolean {
		return this.ownerships[shard]!.observe({record, index, nowMs});
	}

	/** Records that the records were read whole: those that are missing do not exist. */
	recordRead(nowMs: number): void {
		for (const shard of shards) {
			this.#knownSinceMs.set(shard, this.#knownSinceMs.get(shard) ?? nowMs);
		}
	}

	/** Records that this process reads the store for the first time in a later era than the first. */
	recordLaterEra(nowMs: number): void {
		for (const ownership of this.ownerships) {
			ownership.recordLaterEra(nowMs);
		}
	}

	/** Records that the store has returned from an older copy. */
	recordReturn(nowMs: number): void {
		this.#knownSinceMs.clear();
		for (const ownership of this.ownerships) {
			ownership.recordReturn(nowMs);
		}
	}

	/** Records that a call which was sent at `sentAtMs` (monotonic time, in milliseconds) has confirmed the registration of this instance. */
	confirmRegistration(options: {readonly sentAtMs: number; readonly nowMs: number}): void {
		for (const ownership of this.ownerships) {
			ownership.confirmRegistration(options);
		}
	}

	/** Records that the registration of this instance was lost. */
	loseRegistration(nowMs: number): void {
		for (const ownership of this.ownerships) {
			ownership.loseRegistration(nowMs);
		}
	}

	/** Records that the process was suspended. */
	recordSuspension(): void {
		for (const ownership of this.ownerships) {
			ownership.recordSuspension();
		}
	}

	/** Records which instances are registered. */
	updateInstances({instances, nowMs}: Pick<PrepareWriteOptions, 'instances' | 'nowMs'>): void {
		const registered = new Set(instances.map(({id}) => id));
		const owners = new Set(this.#listOwners());
		for (const id of this.#absentSinceMs.keys()) {
			if (registered.has(id) || !owners.has(id)) {
				this.#absentSinceMs.delete(id);
			}
		}

		for (const id of owners) {
			if (!registered.has(id) && !this.#absentSinceMs.has(id)) {
				this.#absentSinceMs.set(id, nowMs);
			}
		}
	}

	/** The record that this instance is to write now; undefined: none. */
	prepareWrite({shard, instances, nowMs}: PrepareWriteOptions): ShardWrite | undefined {
		const ownership = this.ownerships[shard]!;
		if (!this.#knownSinceMs.has(shard)) {
			return undefined;
		}

		// Also after a write of its own: an instance that hands a shard over waits for its turn like all others.
		if (ownership.record !== this.#knownRecords.get(shard)) {
			this.#knownRecords.set(shard, ownership.record);
			this.#knownSinceMs.set(shard, nowMs);
		}

		return ownership.prepareOwnWrite(nowMs) ?? (this.#mayClaim({shard, instances, nowMs}) ? ownership.prepareClaim() : undefined);
	}

	/** The shard that this instance is to release because it owns several and another instance owns none; undefined: none. */
	chooseHandover({instances, nowMs}: Pick<PrepareWriteOptions, 'instances' | 'nowMs'>): number | undefined {
		const held = shards.filter(shard => this.ownerships[shard]!.isHeld);
		if (this.#handedOver !== undefined && held.includes(this.#handedOver)) {
			this.#handoverAfterMs = nowMs + HANDOVER_BACKOFF_MS;
		}

		const owners = new Set(this.#listOwners());
		const isSettled = held.every(shard => this.ownerships[shard]!.share(nowMs) === 1) && this.#listOwners().length === shards.length;
		const shard = held.at(-1);
		if (held.length < 2 || !isSettled || instances.every(({id}) => owners.has(id)) || nowMs < this.#handoverAfterMs) {
			this.#handedOver = undefined;
			return undefined;
		}

		this.#handedOver = shard;
		this.#handoverAfterMs = nowMs + HANDOVER_INTERVAL_MS;
		return shard;
	}

	#mayClaim({shard, instances, nowMs}: PrepareWriteOptions): boolean {
		const {record} = this.ownerships[shard]!;
		const freeSinceMs = findFreeSince({
			record, self: this.#self, knownSinceMs: this.#knownSinceMs.get(shard)!, absentSinceMs: id => this.#absentSinceMs.get(id),
		});
		if (freeSinceMs === undefined || nowMs < freeSinceMs || !this.ownerships[shard]!.isRegistered(nowMs + CLAIM_MARGIN_MS)) {
			return false;
		}

		const owners = new Set(this.#listOwners(shard));
		const delayMs = claimDelayMs({
			shard, self: this.#self.id, instances, owners,
		});
		return delayMs !== undefined && nowMs >= freeSinceMs + delayMs;
	}

	/** Owners of all shards, except those of one. */
	#listOwners(except?: number): readonly InstanceId[] {
		return this.ownerships.flatMap(({record}, shard) => shard !== except && record?.owner ? [record.owner.id] : []);
	}
}
