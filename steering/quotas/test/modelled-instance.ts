/** Instances of a modelled fleet. */
import type {InstanceId} from '@pomelopick/core.types';
import {QuotaBuckets, shards, ShardTable} from '@pomelopick/steering.quotas';

/** One process of an instance. */
export class ModelledProcess {
	readonly table: ShardTable;
	readonly buckets = shards.map(() => new QuotaBuckets());
	/** Registered instances in its view of the store. */
	instances: ReadonlyArray<{readonly id: InstanceId}> = [];
	/** Era of the store at its last call; undefined: it has made none. */
	era: number | undefined;
	/** Monotonic time of the last renewal of its registration, in milliseconds. */
	renewedAtMs = Number.NEGATIVE_INFINITY;

	constructor(readonly id: InstanceId, readonly process: number) {
		this.table = new ShardTable({self: {id, process}});
	}
}

/** One instance, which may be down. */
export class ModelledInstance {
	process: ModelledProcess | undefined;
	/** Whether it cannot call the store. */
	isCutOff = false;
	/** Whether its view of the store is not updated, while its calls succeed. */
	isViewHeld = false;
	/** Whether its writes take effect and their answers are lost. */
	losesAnswers = false;
	/** Time of the fleet until which it is frozen, in milliseconds. */
	frozenUntilMs = 0;
	/** Time by which its monotonic clock is behind, in milliseconds. */
	suspendedMs = 0;
	#starts = 0;

	constructor(readonly id: InstanceId) {}

	/** Starts the next process. */
	start(): void {
		this.#starts += 1;
		this.process = new ModelledProcess(this.id, this.#starts);
	}
}
