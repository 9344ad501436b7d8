/** Claims, restores and releases shards by compare-and-swap in the store. */
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {InstanceId} from '@pomelopick/core.types';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {shards, ShardTable, stageOf} from '@pomelopick/steering.quotas';
import type {InstanceProcess, ShardRecord, ShardWrite} from '@pomelopick/steering.quotas';
import {encodeShard, shardKey} from './shard-records.js';

/** Time after a write that failed in which the shard is not written again, in milliseconds. */
const WRITE_BACKOFF_MS = 1000;

/** Options of {@link ShardClaimer}. */
export interface ShardClaimerOptions {
	readonly self: InstanceProcess;
	readonly store: KeyValueStore;
	/** Registered instances. */
	readonly instances: () => ReadonlyArray<{readonly id: InstanceId}>;
	/** Whether this instance may claim shards: a quota is configured, and it is not leaving. */
	readonly mayClaim: () => boolean;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link ShardClaimer.observe}. */
export interface ObserveOptions {
	readonly shard: number;
	readonly record: ShardRecord;
	readonly index: number;
}

/** Claims and releases the shards of this instance. */
export class ShardClaimer {
	readonly table: ShardTable;
	readonly #options: ShardClaimerOptions;
	readonly #writing = new Set<number>();
	/** Monotonic times after which shards may be written again, in milliseconds. */
	readonly #writeAfterMs = new Map<number, number>();
	/** Shares of the shards that were last logged. */
	readonly #loggedShares = new Map<number, number>();
	#isReleased = false;

	constructor(options: ShardClaimerOptions) {
		this.#options = options;
		this.table = new ShardTable({self: options.self});
	}

	/** Applies a record that was read in the store. */
	observe({shard, record, index}: ObserveOptions): void {
		const isLost = this.table.observe({
			shard, record, index, nowMs: this.#options.now(),
		});
		if (isLost) {
			this.#options.counters.add('quota-shard.lost');
			this.#options.log.line('quota-shard-lost', {shard, owner: record.owner?.id, claim: record.claim});
		}
	}

	/** Writes the claim, restoration or handover that is due. Must be called at regular intervals. */
	step(): void {
		const {instances, mayClaim, now} = this.#options;
		const nowMs = now();
		const registered = instances();
		this.table.updateInstances({instances: registered, nowMs});
		for (const shard of shards) {
			this.#logShare({shard, nowMs});
		}

		if (this.#isReleased || !mayClaim()) {
			return;
		}

		for (const shard of shards) {
			// One write at a time: an instance that has claimed one shard comes last for the others.
			const isDue = this.#writing.size === 0 && nowMs >= (this.#writeAfterMs.get(shard) ?? 0);
			const write = isDue ? this.table.prepareWrite({shard, instances: registered, nowMs}) : undefined;
			if (write) {
				void this.#write({shard, write});
			}
		}

		const handedOver = this.#writing.size === 0 ? this.table.chooseHandover({instances: registered, nowMs}) : undefined;
		if (handedOver !== undefined) {
			void this.#release(handedOver);
		}
	}

	/** Releases all shards of this instance; it grants and claims nothing more. */
	async releaseAll(): Promise<void> {
		this.#isReleased = true;
		await Promise.all(shards.map(async shard => this.#release(shard)));
	}

	async #release(shard: number): Promise<void> {
		const write = this.table.ownerships[shard]!.release();
		if (write) {
			await this.#write({shard, write});
		}
	}

	async #write({shard, write: {record, expectedIndex, registration}}: {readonly shard: number; readonly write: ShardWrite}): Promise<void> {
		const {store, counters, log, now} = this.#options;
		this.#writing.add(shard);
		const written = await store.compareAndSwapForIndex({key: shardKey(shard), value: encodeShard(record), expectedIndex}).run();
		this.#writing.delete(shard);
		const nowMs = now();
		const event = eventOf({record, self: this.#options.self});
		written.ifLeft(({code, message}) => {
			this.#writeAfterMs.set(shard, nowMs + WRITE_BACKOFF_MS);
			counters.add(`quota-shard.${code}`);
			log.line('quota-shard-not-written', {shard, reason: code, detail: message});
		}).ifRight(index => {
			if (index === undefined) {
				// Another instance has written the record first; the view gets that record soon.
				this.#writeAfterMs.set(shard, nowMs + WRITE_BACKOFF_MS);
				counters.add('quota-shard.taken-by-another');
				return;
			}

			this.table.ownerships[shard]!.applyWrite({
				record, index, registration, nowMs,
			});
			counters.add(`quota-shard.${event}`);
			log.line(`quota-shard-${event}`, {
				shard, claim: record.claim, stage: stageOf(record), predecessors: record.predecessors.map(({id}) => id).join(' '),
			});
		});
	}

	/** Logs when this instance may use another share of a shard than before. */
	#logShare({shard, nowMs}: {readonly shard: number; readonly nowMs: number}): void {
		const share = this.table.ownerships[shard]!.share(nowMs);
		if (share !== (this.#loggedShares.get(shard) ?? 0)) {
			this.#loggedShares.set(shard, share);
			this.#options.log.line('quota-shard-share', {shard, share});
		}
	}
}

function eventOf({record: {owner}, self}: {readonly record: ShardRecord; readonly self: InstanceProcess}): string {
	if (!owner) {
		return 'released';
	}

	return owner.id === self.id ? 'claimed' : 'confirmed';
}
