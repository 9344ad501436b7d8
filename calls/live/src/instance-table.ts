/** The registered instances, in the view of this one. */
import type {InstanceId} from '@pomelopick/core.types';
import type {InstanceRecord} from './instance-record.js';

interface InstanceEntry {
	readonly record: InstanceRecord;
	/** Monotonic time at which a record that is missing from the store is removed, in milliseconds; undefined: it is in the store. */
	readonly expiresAtMs: number | undefined;
}

/** Table of instance records. */
export class InstanceTable {
	readonly #instances = new Map<InstanceId, InstanceEntry>();
	#maxCount = 1;
	#generation = 0;
	#list: readonly InstanceRecord[] | undefined;

	/** Maximum number of instances at one time since this process started, at least 1. */
	get maxCount(): number {
		return this.#maxCount;
	}

	/** Increases whenever an instance joins, leaves or writes its record. */
	get generation(): number {
		return this.#generation;
	}

	/** Lists the live instances, including expired ones while they are retained. Returns the same array until something changes. */
	list(): readonly InstanceRecord[] {
		this.#list ??= [...this.#instances.values()].map(({record}) => record);
		return this.#list;
	}

	/** Adds or replaces a record; returns whether its instance is new. */
	write(record: InstanceRecord): boolean {
		const isNew = !this.#instances.has(record.id);
		this.#instances.set(record.id, {record, expiresAtMs: undefined});
		this.#invalidate();
		this.#maxCount = Math.max(this.#maxCount, this.#instances.size);
		return isNew;
	}

	/** Removes a record, or retains it until a monotonic time in milliseconds; returns whether it was removed. */
	remove({id, retainedUntilMs}: {readonly id: InstanceId; readonly retainedUntilMs: number | undefined}): boolean {
		const entry = this.#instances.get(id);
		if (entry && retainedUntilMs !== undefined) {
			this.#instances.set(id, {...entry, expiresAtMs: entry.expiresAtMs ?? retainedUntilMs});
			return false;
		}

		this.#invalidate();
		return this.#instances.delete(id);
	}

	/** Removes the retained records that were not written again in time; returns their instances. */
	expire(nowMs: number): readonly InstanceId[] {
		const expired = [...this.#instances].filter(([, {expiresAtMs}]) => expiresAtMs !== undefined && nowMs >= expiresAtMs).map(([id]) => id);
		for (const id of expired) {
			this.#instances.delete(id);
			this.#invalidate();
		}

		return expired;
	}

	#invalidate(): void {
		this.#list = undefined;
		this.#generation += 1;
	}
}
