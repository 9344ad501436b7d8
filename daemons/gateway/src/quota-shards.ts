/** Keeps the shards of the quotas that this instance owns, and finds the owners of the others: claims them in the store, and drops them when the process was suspended or its registration was lost. */
import {ShardClaimer} from '@pomelopick/calls.quotas';
import type {ObserveOptions, OwnerEndpoint} from '@pomelopick/calls.quotas';
import type {InstanceRecord, LiveView} from '@pomelopick/calls.live';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {KeyValueStore} from '@pomelopick/platform.store';
import {PauseDetector} from '@pomelopick/steering.limits';
import type {InstanceProcess, ShardOwnership} from '@pomelopick/steering.quotas';

/** Interval at which due writes about shards are made, in milliseconds. */
const STEP_MS = 200;

/** Options of {@link QuotaShards}. */
export interface QuotaShardsOptions {
	readonly self: InstanceRecord;
	/** Number of this process of the instance. */
	readonly process: number;
	readonly view: LiveView;
	readonly store: KeyValueStore;
	/** Whether the view of the store was complete at least once. */
	readonly hasCaughtUp: () => boolean;
	readonly isLeaving: () => boolean;
	/** Called when the process was suspended: grants made before may be invalid. */
	readonly onSuspension: () => void;
	/** Called at each interval, before due writes. */
	readonly onStep: () => void;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The owner of a shard, and what it was determined from. */
interface KnownOwner {
	readonly owner: InstanceProcess;
	readonly instances: readonly InstanceRecord[];
	readonly endpoint: InstanceProcess & OwnerEndpoint;
}

/** The shards of this instance. Nothing is written or timed before {@link QuotaShards.startClaiming}. */
export class QuotaShards {
	readonly #options: QuotaShardsOptions;
	readonly #suspensions: PauseDetector;
	readonly #claimer: ShardClaimer;
	/** Owners by shard, kept until the record of the shard or the instances change: all of them are looked up for most requests. */
	readonly #owners = new Map<number, KnownOwner>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: QuotaShardsOptions) {
		const {self, process, view, store, hasCaughtUp, isLeaving, counters, log, now} = options;
		this.#options = options;
		this.#suspensions = new PauseDetector({monotonicMs: now(), wallClockMs: Date.now()});
		this.#claimer = new ShardClaimer({
			self: {id: self.id, process},
			store,
			instances: () => view.instances.list(),
			mayClaim: () => hasCaughtUp() && !isLeaving(),
			counters,
			log,
			now: () => this.readClock(),
		});
	}

	/** Ownership of each shard by this instance. */
	get ownerships(): readonly ShardOwnership[] {
		return this.#claimer.table.ownerships;
	}

	/** Returns the monotonic time, in milliseconds. If the process was suspended, drops the shards and calls `onSuspension` first. */
	readClock(): number {
		const {onSuspension, counters, log, now} = this.#options;
		const nowMs = now();
		const suspendedMs = this.#suspensions.check({monotonicMs: nowMs, wallClockMs: Date.now()});
		if (suspendedMs > 0) {
			this.#claimer.table.recordSuspension();
			onSuspension();
			counters.add('quota.suspended');
			log.line('quota-state-dropped', {pausedMs: Math.round(suspendedMs)});
		}

		return nowMs;
	}

	/** The owner of a shard in the view of this instance; undefined: none is known. */
	findOwner(shard: number): (InstanceProcess & OwnerEndpoint) | undefined {
		const {self, view} = this.#options;
		const owner = this.ownerships[shard]!.record?.owner;
		if (!owner) {
			return undefined;
		}

		const instances = view.instances.list();
		const known = this.#owners.get(shard);
		if (known?.owner === owner && known.instances === instances) {
			return known.endpoint;
		}

		const endpoint = {...owner, ...toEndpoint({self, owner: owner.id, instances})};
		this.#owners.set(shard, {owner, instances, endpoint});
		return endpoint;
	}

	/** Applies a record that was read in the store. */
	observe(options: ObserveOptions): void {
		this.#claimer.observe(options);
	}

	/** Must be called when the store was read whole. */
	recordRead({isFirst, isFirstEra}: {readonly isFirst: boolean; readonly isFirstEra: boolean}): void {
		const {table} = this.#claimer;
		const nowMs = this.readClock();
		if (isFirst && !isFirstEra) {
			table.recordLaterEra(nowMs);
		}

		table.recordRead(nowMs);
	}

	/** Must be called when the store has returned from an older copy. */
	recordReturn(): void {
		this.#claimer.table.recordReturn(this.readClock());
	}

	/** Must be called when a call has confirmed the registration of this instance, with the monotonic time at which it was sent in milliseconds, or when the registration was lost (undefined). */
	recordRegistration(confirmedAtMs: number | undefined): void {
		const {table} = this.#claimer;
		if (confirmedAtMs === undefined) {
			table.loseRegistration(this.readClock());
		} else {
			table.confirmRegistration({sentAtMs: confirmedAtMs, nowMs: this.readClock()});
		}
	}

	/** Starts to claim shards, and to hand them over, at regular intervals. */
	startClaiming(): void {
		this.#timer ??= setInterval(() => {
			this.#options.onStep();
			this.#claimer.step();
		}, STEP_MS).unref();
	}

	/** Claims and hands over no more shards; those that are owned are kept until their records are lost or released. */
	stopClaiming(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	/** Shares that this instance may use, by shard. */
	listShares(): ReadonlyMap<string, number> {
		const nowMs = this.#options.now();
		return new Map(this.ownerships.flatMap((ownership, shard) => ownership.isHeld ? [[String(shard), ownership.share(nowMs)]] : []));
	}

	/** Releases the shards of this instance; it claims none after that. */
	async release(): Promise<void> {
		await this.#claimer.releaseAll();
	}
}

function toEndpoint({self, owner, instances}: {readonly self: InstanceRecord; readonly owner: InstanceRecord['id']; readonly instances: readonly InstanceRecord[]}): OwnerEndpoint {
	const record = owner === self.id ? self : instances.find(({id}) => id === owner);
	return {
		id: owner,
		peers: record?.peers,
		isSelf: owner === self.id,
		isSameFailureDomain: record?.failureDomain === self.failureDomain,
		isSameRegion: record?.region === self.region,
	};
}
