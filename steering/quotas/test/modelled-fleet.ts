/** A fleet of instances and their store, modelled without sockets. All owners grant all that they may at every moment, which is the worst case for the bound. */
import type {InstanceId, OrganisationName, OrganisationQuota} from '@pomelopick/core.types';
import {shards} from '@pomelopick/steering.quotas';
import type {ShardWrite} from '@pomelopick/steering.quotas';
import {ModelledInstance} from './modelled-instance.js';
import type {ModelledProcess} from './modelled-instance.js';
import {FIRST_ERA, ModelledStore} from './modelled-store.js';

/** Time between two renewals of a registration, in milliseconds. */
const RENEWAL_MS = 1600;
/** Number of permits that are asked for at once: more than any bucket holds, so that each grant empties it. */
const PERMITS_PER_GRANT = 100_000;
/** Time between two steps of the fleet, in milliseconds. */
const STEP_MS = 200;
/** Duration from which on steps are longer, so that tests with such times end soon, in milliseconds. */
const LONG_DURATION_MS = 100_000;
const LONG_STEP_MS = 1000;
const organisation = 'organisation' as OrganisationName;

/** Permits that an owner granted at once. */
interface Grant {
	/** Time of the fleet, in milliseconds. */
	readonly atMs: number;
	readonly permits: number;
}

/** An instance with its present process. */
interface RunningInstance {
	readonly instance: ModelledInstance;
	readonly process: ModelledProcess;
}

/** A fleet with a time of its own. */
export class ModelledFleet {
	readonly store = new ModelledStore();
	readonly instances: readonly ModelledInstance[];
	readonly grants: Grant[] = [];
	/** Time of the fleet, in milliseconds. */
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

	/** Lets a time pass, in milliseconds, in steps in which each instance acts once. */
	play(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		const stepMs = durationMs >= LONG_DURATION_MS ? LONG_STEP_MS : STEP_MS;
		while (this.nowMs < endMs) {
			this.nowMs += stepMs;
			this.store.step(this.nowMs);
			this.#recordShares();
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

		this.store.unregister(instance.id);
		instance.process = undefined;
	}

	/** Suspends an instance: its monotonic clock does not advance. */
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

	/** Updates the largest sum by what the processes may use before they read the store again. */
	#recordShares(): void {
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

	#grant({instance, process}: RunningInstance): void {
		const nowMs = this.nowMs - instance.suspendedMs;
		for (const [shard, ownership] of process.table.ownerships.entries()) {
			if (!ownership.isHeld) {
				continue;
			}

			const {permits} = process.buckets[shard]!.take({
				organisation, quota: this.#quota, permits: PERMITS_PER_GRANT, share: ownership.share(nowMs), generation: ownership.generation, usableSinceMs: ownership.usableSinceMs, asker: '', nowMs,
			});
			this.grants.push({atMs: this.nowMs, permits});
		}
	}

	/** Renews the registration, reads the view and writes the records that are due. */
	#callStore({instance, process}: RunningInstance): void {
		const nowMs = this.nowMs - instance.suspendedMs;
		this.#noticeEra({process, nowMs});
		if (nowMs - process.renewedAtMs >= RENEWAL_MS) {
			this.#renew({instance, process, nowMs});
		}

		if (!instance.isViewHeld) {
			process.instances = this.store.listInstances();
			this.#readView({process, nowMs});
		}

		this.#writeDueRecords({instance, process, nowMs});
	}

	#writeDueRecords({instance, process, nowMs}: RunningInstance & {readonly nowMs: number}): void {
		const {instances, table} = process;
		table.updateInstances({instances, nowMs});
		for (const shard of shards) {
			const write = table.prepareWrite({shard, instances, nowMs});
			this.#write({
				instance, process, shard, write, nowMs,
			});
		}

		const handedOver = table.chooseHandover({instances, nowMs});
		if (handedOver !== undefined) {
			this.#write({
				instance, process, shard: handedOver, write: table.ownerships[handedOver]!.release(), nowMs,
			});
		}
	}

	#write({instance, process, shard, write, nowMs}: RunningInstance & {readonly shard: number; readonly write: ShardWrite | undefined; readonly nowMs: number}): void {
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
		} else if (process.era === undefined && era > FIRST_ERA) {
			process.table.recordLaterEra(nowMs);
		}

		process.era = era;
	}

	#renew({instance, process, nowMs}: RunningInstance & {readonly nowMs: number}): void {
		this.store.register({id: instance.id, nowMs: this.nowMs});
		process.renewedAtMs = nowMs;
		process.table.confirmRegistration({sentAtMs: nowMs, nowMs});
	}

	#readView({process: {table}, nowMs}: {readonly process: ModelledProcess; readonly nowMs: number}): void {
		for (const record of this.store.listRecords()) {
			table.observe({...record, nowMs});
		}

		table.recordRead(nowMs);
	}
}
