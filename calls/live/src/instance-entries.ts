/** Applies writes and removals of instances' records to the table of instances, and reports what changes. */
import type {InstanceId} from '@pomelopick/core.types';
import type {StoredValue} from '@pomelopick/platform.store';
import {decodeInstance, INSTANCE_PREFIX, instanceKey} from './instance-record.js';
import {InstanceTable} from './instance-table.js';
import type {ViewChange} from './view-change.js';

/** Options of {@link InstanceEntries.remove}. */
export interface RemoveInstanceOptions {
	readonly key: string;
	readonly storeIndex: number;
	/** Monotonic time until which the record may be written again, in milliseconds; undefined: it is gone. */
	readonly retainedUntilMs: number | undefined;
}

/** The records of instances in the store. */
export class InstanceEntries {
	readonly table = new InstanceTable();
	readonly #onChange: (change: ViewChange) => void;

	constructor({onChange}: {readonly onChange: (change: ViewChange) => void}) {
		this.#onChange = onChange;
	}

	/** Lists the keys of the records. */
	listKeys(): readonly string[] {
		return this.table.list().map(({id}) => instanceKey(id));
	}

	/** Applies a write. */
	write({key, value, modifyIndex}: StoredValue): void {
		decodeInstance({key, bytes: value}).ifLeft(({code, message}) => {
			this.#onChange({
				event: 'instance-refused', subject: key, detail: message, reason: code, storeIndex: modifyIndex,
			});
		}).ifRight(record => {
			if (this.table.write(record)) {
				this.#onChange({
					event: 'instance-joined', subject: record.id, detail: `in ${record.failureDomain}`, storeIndex: modifyIndex,
				});
			}
		});
	}

	/** Applies a removal. */
	remove({key, storeIndex, retainedUntilMs}: RemoveInstanceOptions): void {
		const id = key.slice(INSTANCE_PREFIX.length) as InstanceId;
		if (this.table.remove({id, retainedUntilMs})) {
			this.#onChange({
				event: 'instance-left', subject: id, detail: 'its record was removed', storeIndex,
			});
		}
	}

	/** Removes retained instances whose records were not written again in time. */
	expire(nowMs: number): void {
		for (const id of this.table.expire(nowMs)) {
			this.#onChange({
				event: 'instance-left', subject: id, detail: 'its record expired while the store was unavailable and was not written again in time', storeIndex: 0,
			});
		}
	}
}
