/** Instances, a store and their views, modelled without sockets. All owners grant all that they may at every moment, which is the worst case for the bound. */
import type {InstanceId, OrganisationName, OrganisationQuota} from '@pomelopick/core.types';
import {QuotaBuckets, shards, ShardTable} from '@pomelopick/steering.quotas';
import type {ShardRecord, ShardWrite} from '@pomelopick/steering.quotas';

const LEASE_MS = 4800;
const RENEWAL_MS = 1600;
/** Age of the copies from which the store returns, in milliseconds. */
const COPY_AGE_MS = 8000;
const ASK = 100_000;
const STEP_MS = 200;
/** Duration from which a time is played in longer steps, in milliseconds. */
const LONG_MS = 100_000;
const LONG_STEP_MS = 1000;
export const organisation = 'organisation' as OrganisationName;

interface Stored {
	readonly record: ShardRecord;
	readonly index: number;
}

interface StoreState {
	era: number;
	index: number;
	readonly records: Map<number, Stored>;
	/** Ends of the registrations, in milliseconds. */
	readonly leases: Map<string, number>;
}

const ERA_SPAN = 1_000_000_000;

/** The store, with copies of earlier states. */
export class ModelledStore {
	isAvailable = true;
	state: StoreState = {
		era: 1, index: 0, records: new Map(), leases: new Map(),
	};

	readonly #copies: Array<{readonly atMs: number; readonly state: StoreState}> = [];

	tick(nowMs: number): void {
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

	/** Returns from the oldest copy. */
	returnFromCopy(): void {
		const state = this.#copies[0]?.state ?? this.state;
		const {era} = this.state;
		this.state = copyOf(state);
		this.state.era = era + 1;
		this.#copies.length = 0;
	}

	write({shard, write: {record, expectedIndex}}: {readonly shard: number; readonly write: ShardWrite}): number | undefined {
		const {era, records} = this.state;
		const current = records.get(shard)?.index ?? 0;
		const expectedRevision = expectedIndex % ERA_SPAN;
		if (current !== expectedRevision || (expectedIndex > 0 && Math.floor(expectedIndex / ERA_SPAN) !== era)) {
			return undefined;
		}

		this.state.index += 1;
		records.set(shard, {record, index: this.state.index});
		return (era * ERA_SPAN) + this.state.index;
	}
}

function copyOf({era, index, records, leases}: StoreState): StoreState {
	return {
		era, index, records: new Map(records), leases: new Map(leases),
	};
}

/** One process of an instance. */
class ModelledProcess {
	readonly table: ShardTable;
	readonly buckets = shards.map(() => new QuotaBuckets());
	instances: ReadonlyArray<{readonly id: InstanceId}> = [];
	era: number | undefined;
	renewedAtMs = Number.NEGATIVE_INFINITY;

	constructor(readonly id: InstanceId, readonly process: number) {
		this.table = new ShardTable({self: {id, process}});
	}
}

/** One instance, which may be down. */
export class ModelledInstance {
	process: ModelledProcess | undefined;
	isCutOff = false;
	/** Whether its view of the store stands still, while its calls succeed. */
	isViewHeld = false;
	/** Whether its writes take effect and their answers are lost. */
	losesAnswers = false;
	/** Monotonic time until which it is frozen, in milliseconds. */
	frozenUntilMs = 0;
	/** Time by which its monotonic clock is behind, in milliseconds. */
	suspendedMs = 0;
	#starts = 0;

	constructor(readonly id: InstanceId) {}

	start(): void {
		this.#starts += 1;
		this.process = new ModelledProcess(this.id, this.#starts);
	}
}

/** A moment of grants. */
interface Grant {
	readonly atMs: number;
	readonly permits: number;
}

/** Plays the fleet. */
export class ModelledFleet {
	readonly store = new ModelledStore();
	readonly instances: readonly ModelledInstance[];
	readonly grants: Grant[] = [];
	nowMs = 0;
	/** Largest sum of the shares of one shard that processes could use at the same moment. */
	largestSum = 0;
	/** Whether owners grant all that they may at every moment. */
	isGreedy: boolean;
	/** Called for each instance that runs, before it reads the store. */
	onStep: ((instance: ModelledInstance) => void) | undefined;
	readonly #quota: OrganisationQuota;

	constructor({count, quota, isGreedy = true}: {readonly count: number; readonly quota: OrganisationQuota; readonly isGreedy?: boolean}) {
		this.#quota = quota;
		this.isGreedy = isGreedy;
		this.instances = Array.from({length: count}, (_, index) => new ModelledInstance(`instance-${index}` as InstanceId));
		for (const instance of this.instances) {
			instance.start();
		}
	}

	/** Plays a time, in milliseconds. */
	play(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		const stepMs = durationMs >= LONG_MS ? LONG_STEP_MS : STEP_MS;
		while (this.nowMs < endMs) {
			this.nowMs += stepMs;
			this.store.tick(this.nowMs);
			this.#addUpShares();
			for (const instance of this.instances) {
				this.#step(instance);
			}
		}
	}

	/** Releases the shards of an instance and ends it. */
	shutDown(instance: ModelledInstance): void {
		for (const [shard, ownership] of instance.process?.table.ownerships.entries() ?? []) {
			const write = ownership.release();
			if (write && this.#mayCall(instance)) {
				this.store.write({shard, write});
			}
		}

		this.store.state.leases.delete(instance.id);
		instance.process = undefined;
	}

	/** Suspends an instance: its monotonic clock stands still. */
	suspend({instance, durationMs}: {readonly instance: ModelledInstance; readonly durationMs: number}): void {
		instance.frozenUntilMs = this.nowMs + durationMs;
		instance.suspendedMs += durationMs;
		// The detector runs before the first decision after the suspension.
		instance.process?.table.recordSuspension();
		if (instance.process) {
			instance.process.renewedAtMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Largest number of permits that were granted within a window, in milliseconds. */
	largest(windowMs: number): number {
		let sum = 0;
		let largest = 0;
		let first = 0;
		for (const {atMs, permits} of this.grants) {
			sum += permits;
			while (this.grants[first]!.atMs <= atMs - windowMs) {
				sum -= this.grants[first]!.permits;
				first += 1;
			}

			largest = Math.max(largest, sum);
		}

		return largest;
	}

	/** Number of permits that were granted since a time, in milliseconds. */
	granted(sinceMs: number): number {
		return this.grants.filter(({atMs}) => atMs > sinceMs).reduce((sum, {permits}) => sum + permits, 0);
	}

	/** Adds up what the processes could use before they read the store again. */
	#addUpShares(): void {
		for (const shard of shards) {
			let sum = 0;
			for (const {process, frozenUntilMs, suspendedMs} of this.instances) {
				sum += process && this.nowMs >= frozenUntilMs ? process.table.ownerships[shard]!.share(this.nowMs - suspendedMs) : 0;
			}

			this.largestSum = Math.max(this.largestSum, sum);
		}
	}

	#mayCall({isCutOff}: ModelledInstance): boolean {
		return this.store.isAvailable && !isCutOff;
	}

	#step(instance: ModelledInstance): void {
		const {process} = instance;
		if (!process || this.nowMs < instance.frozenUntilMs) {
			return;
		}

		this.onStep?.(instance);
		// What it grants depends on its state before it reads the store.
		if (this.isGreedy) {
			this.#grant({instance, process});
		}

		if (this.#mayCall(instance)) {
			this.#callStore({instance, process});
		}
	}

	#grant({instance, process}: {readonly instance: ModelledInstance; readonly process: ModelledProcess}): void {
		const nowMs = this.nowMs - instance.suspendedMs;
		for (const [shard, ownership] of process.table.ownerships.entries()) {
			if (!ownership.isHeld) {
				continue;
			}

			const {permits} = process.buckets[shard]!.take({
				organisation, quota: this.#quota, permits: ASK, share: ownership.share(nowMs), generation: ownership.generation, usableSinceMs: ownership.usableSinceMs, asker: '', nowMs,
			});
			this.grants.push({atMs: this.nowMs, permits});
		}
	}

	#callStore({instance, process}: {readonly instance: ModelledInstance; readonly process: ModelledProcess}): void {
		const nowMs = this.nowMs - instance.suspendedMs;
		const {state} = this.store;
		this.#noticeEra({process, nowMs});
		if (nowMs - process.renewedAtMs >= RENEWAL_MS) {
			this.#renew({instance, process, nowMs});
		}

		if (!instance.isViewHeld) {
			process.instances = [...state.leases.keys()].map(id => ({id: id as InstanceId}));
			this.#readView({process, nowMs});
		}

		const {instances} = process;
		process.table.updateInstances({instances, nowMs});
		for (const shard of shards) {
			const write = process.table.prepareWrite({shard, instances, nowMs});
			this.#write({
				instance, process, shard, write, nowMs,
			});
		}

		const handedOver = process.table.chooseHandover({instances, nowMs});
		if (handedOver !== undefined) {
			this.#write({
				instance, process, shard: handedOver, write: process.table.ownerships[handedOver]!.release(), nowMs,
			});
		}
	}

	#write({instance, process, shard, write, nowMs}: {readonly instance: ModelledInstance; readonly process: ModelledProcess; readonly shard: number; readonly write: ShardWrite | undefined; readonly nowMs: number}): void {
		const index = write && this.store.write({shard, write});
		if (write && index !== undefined && !instance.losesAnswers) {
			process.table.ownerships[shard]!.applyWrite({
				record: write.record, index, registration: write.registration, nowMs,
			});
		}
	}

	#noticeEra({process, nowMs}: {readonly process: ModelledProcess; readonly nowMs: number}): void {
		const {era} = this.store.state;
		if (process.era !== undefined && process.era !== era) {
			process.table.recordReturn(nowMs);
			process.renewedAtMs = Number.NEGATIVE_INFINITY;
		} else if (process.era === undefined && era > 1) {
			process.table.recordLaterEra(nowMs);
		}

		process.era = era;
	}

	#renew({instance, process, nowMs}: {readonly instance: ModelledInstance; readonly process: ModelledProcess; readonly nowMs: number}): void {
		this.store.state.leases.set(instance.id, this.nowMs + LEASE_MS);
		process.renewedAtMs = nowMs;
		process.table.confirmRegistration({sentAtMs: nowMs, nowMs});
	}

	#readView({process: {table}, nowMs}: {readonly process: ModelledProcess; readonly nowMs: number}): void {
		const {records, era} = this.store.state;
		for (const [shard, {record, index}] of records) {
			table.observe({
				shard, record, index: (era * ERA_SPAN) + index, nowMs,
			});
		}

		table.recordRead(nowMs);
	}
}
