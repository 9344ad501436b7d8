/** The store of a modelled fleet, in virtual time: it keeps all changes, and can return from an older copy. */
import {INSTANCE_PREFIX} from '@pomelopick/calls.live';
import {splitIndex, toIndex} from '@pomelopick/platform.store';
import type {
	StoreChange, StoreChanges, StoredValue, WatchOptions, WatchResult,
} from '@pomelopick/platform.store';
import type {VirtualTime} from './virtual-time.js';

/** A return of the store from an older copy. */
export interface StoreReturn {
	/** Number of the last changes that the copy lacks. */
	readonly missing: number;
	/** Time after which the operator writes again what is missing, in milliseconds. */
	readonly rewrittenAfterMs: number;
}

/** A store whose calls take no time. */
export class ModelledStore {
	readonly #time: VirtualTime;
	/** Changes of the store; their indexes are revisions, without an era. */
	#changes: StoreChange[] = [];
	#era = 1;
	/** What the operator has not written again yet. */
	readonly #lostWrites: StoredValue[] = [];
	/** Time at which the operator last wrote something again, in milliseconds. */
	#rewrittenAtMs = Number.NEGATIVE_INFINITY;
	readonly #watchers = new Set<() => void>();

	constructor({time}: {readonly time: VirtualTime}) {
		this.#time = time;
	}

	/** Number of times that the store has returned from a copy, plus one. */
	get era(): number {
		return this.#era;
	}

	/** Index of the last write in the store. */
	get index(): number {
		return toIndex({era: this.#era, revision: this.#changes.length});
	}

	/** Writes a key; returns the index of the write. */
	write({key, value}: {readonly key: string; readonly value: Uint8Array}): number {
		const modifyIndex = this.#changes.length + 1;
		this.#changes.push({kind: 'written', value: {key, value, modifyIndex}});
		for (const wake of this.#watchers) {
			wake();
		}

		return this.index;
	}

	/**
	 * Lets the store return from a copy that lacks the last changes. The records of instances are gone with their leases; what
	 * the operator wrote is written again some time later, with revisions that were given out before.
	 */
	returnFromCopy({missing, rewrittenAfterMs}: StoreReturn): void {
		const lost = this.#changes.slice(this.#changes.length - missing);
		this.#changes = this.#changes.slice(0, this.#changes.length - missing).map(change => change.kind === 'written' && isRecord(change.value)
			? {kind: 'removed', key: change.value.key, modifyIndex: change.value.modifyIndex}
			: change);
		this.#era += 1;
		this.#lostWrites.push(...lost.flatMap(change => change.kind === 'written' && !isRecord(change.value) ? [change.value] : []));
		this.#time.at(this.#time.now() + rewrittenAfterMs, () => {
			this.rewrite();
		});
	}

	/** Writes again what the operator wrote and the store has lost. */
	rewrite(): void {
		for (const value of this.#lostWrites.splice(0)) {
			this.write(value);
			this.#rewrittenAtMs = this.#time.now();
		}
	}

	/** Time since which the store has all that the operator wrote up to a time, in milliseconds; the current time while something is missing. */
	completeSinceMs(writtenAtMs: number): number {
		return this.#lostWrites.length > 0 ? this.#time.now() : Math.max(writtenAtMs, this.#rewrittenAtMs);
	}

	/** Reads all values. */
	snapshot(): WatchResult {
		const values = new Map<string, StoredValue>();
		for (const change of this.#changes.map(stored => this.#withEra(stored))) {
			if (change.kind === 'written') {
				values.set(change.value.key, change.value);
			} else {
				values.delete(change.key);
			}
		}

		return {values: [...values.values()], index: this.index};
	}

	/** Reads the changes after an index; waits for one if there is none yet. */
	async watch({afterIndex, waitMs}: WatchOptions): Promise<StoreChanges> {
		if (this.index === afterIndex) {
			await this.#waitForChange(waitMs);
		}

		const {era, revision} = splitIndex(afterIndex);
		return era === this.#era ? {kind: 'changes', changes: this.#changes.slice(revision).map(stored => this.#withEra(stored)), index: this.index} : {kind: 'history-lost'};
	}

	/** A change as the store reports it in this era. */
	#withEra(change: StoreChange): StoreChange {
		return change.kind === 'written'
			? {...change, value: {...change.value, modifyIndex: toIndex({era: this.#era, revision: change.value.modifyIndex})}}
			: {...change, modifyIndex: toIndex({era: this.#era, revision: change.modifyIndex})};
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				this.#watchers.delete(wake);
				resolve();
			};

			this.#watchers.add(wake);
			this.#time.at(this.#time.now() + waitMs, wake);
		});
	}
}

/** Whether a value is the record of an instance, which is bound to a lease. */
function isRecord({key}: StoredValue): boolean {
	return key.startsWith(INSTANCE_PREFIX);
}
