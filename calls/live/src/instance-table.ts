/** The instances that registered, as this one believes them. */
import type {InstanceId} from '@pomelopick/core.types';
import type {InstanceRecord} from './instance-record.js';

interface KnownInstance {
	readonly record: InstanceRecord;
	/** Monotonic time at which a lapsed record is taken as gone, in milliseconds. */
	readonly goneAtMs: number | undefined;
}

/** Records by instance. */
export class InstanceTable {
	readonly #instances = new Map<InstanceId, KnownInstance>();
	#most = 1;
	#generation = 0;
	#list: readonly InstanceRecord[] | undefined;

	/** Most instances that were there at once since this process started, at least 1. */
	get most(): number {
		return this.#most;
	}

	/** Grows whenever an instance comes, goes or writes another record. */
	get generation(): number {
		return this.#generation;
	}

	/** Instances that are there, lapsed ones included while they are held. The list stays the same while nothing changes. */
	list(): readonly InstanceRecord[] {
		this.#list ??= [...this.#instances.values()].map(({record}) => record);
		return this.#list;
	}

	/** Takes a record; answers whether its instance is a new one. */
	write(record: InstanceRecord): boolean {
		const isNew = !this.#instances.has(record.id);
		this.#instances.set(record.id, {record, goneAtMs: undefined});
		this.#touch();
		this.#most = Math.max(this.#most, this.#instances.size);
		return isNew;
	}

	/** Takes a record out, or holds it until a monotonic time in milliseconds; answers whether it is out. */
	remove({id, heldUntilMs}: {readonly id: InstanceId; readonly heldUntilMs: number | undefined}): boolean {
		const known = this.#instances.get(id);
		if (known && heldUntilMs !== undefined) {
			this.#instances.set(id, {...known, goneAtMs: known.goneAtMs ?? heldUntilMs});
			return false;
		}

		this.#touch();
		return this.#instances.delete(id);
	}

	/** Takes out the records that lapsed and did not come back in time; answers their instances. */
	expire(nowMs: number): readonly InstanceId[] {
		const gone = [...this.#instances].filter(([, {goneAtMs}]) => goneAtMs !== undefined && nowMs >= goneAtMs).map(([id]) => id);
		for (const id of gone) {
			this.#instances.delete(id);
			this.#touch();
		}

		return gone;
	}

	#touch(): void {
		this.#list = undefined;
		this.#generation += 1;
	}
}
