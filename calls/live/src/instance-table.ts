/** The instances that registered, as this one believes them. */
import type {InstanceId} from '@pomelopick/core.types';
import type {InstanceRecord} from './instance-record.js';

interface InstanceEntry {
	readonly record: InstanceRecord;
	/** Monotonic time at which a lapsed record is taken as expired, in milliseconds. */
	readonly expiresAtMs: number | undefined;
}

/** Records by instance. */
export class InstanceTable {
	readonly #instances = new Map<InstanceId, InstanceEntry>();
	#maxCount = 1;
	#generation = 0;
	#list: readonly InstanceRecord[] | undefined;

	/** Most instances that were there at once since this process started, at least 1. */
	get most(): number {
		return this.#maxCount;
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
		this.#instances.set(record.id, {record, expiresAtMs: undefined});
		this.#invalidate();
		this.#maxCount = Math.max(this.#maxCount, this.#instances.size);
		return isNew;
	}

	/** Takes a record out, or holds it until a monotonic time in milliseconds; answers whether it is out. */
	remove({id, retainedUntilMs}: {readonly id: InstanceId; readonly retainedUntilMs: number | undefined}): boolean {
		const entry = this.#instances.get(id);
		if (entry && retainedUntilMs !== undefined) {
			this.#instances.set(id, {...entry, expiresAtMs: entry.expiresAtMs ?? retainedUntilMs});
			return false;
		}

		this.#invalidate();
		return this.#instances.delete(id);
	}

	/** Takes out the records that lapsed and did not come back in time; answers their instances. */
	expire(nowMs: number): readonly InstanceId[] {
		const expired = [...this.#instances].filter(([, {expiresAtMs: goneAtMs}]) => goneAtMs !== undefined && nowMs >= goneAtMs).map(([id]) => id);
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
