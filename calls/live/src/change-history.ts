/**
 * The store's last changes, for instances that know an earlier index.
 *
 * Of several large values of one key only the last is given, unless the key was removed in between: who lags behind
 * while a configuration is written again and again gets it once. Small values are all given, since what servers tell of
 * their warm-up counts from when it was told.
 */
import type {StoreChange} from '@pomelopick/platform.store';

/** Changes that are kept; older ones are forgotten first. */
const MAX_CHANGES = 4096;
/** Size from which on a value is large, in bytes. */
const LARGE_VALUE_BYTES = 4096;

/** Changes in their order, from an index on without a gap. */
export class ChangeHistory {
	#changes: StoreChange[] = [];
	/** Last change of each key that is kept. */
	readonly #lastByKey = new Map<string, StoreChange>();
	/** Large values that a later write of their key replaced. */
	readonly #replaced = new WeakSet<StoreChange>();
	#startIndex: number;
	#index: number;

	/** Starts after an index of the store. */
	constructor({index}: {readonly index: number}) {
		this.#startIndex = index;
		this.#index = index;
	}

	/** Index up to which all changes are known. */
	get index(): number {
		return this.#index;
	}

	/** Takes the changes between the known index and a later one. */
	append({changes, index}: {readonly changes: readonly StoreChange[]; readonly index: number}): void {
		for (const change of changes) {
			this.#add(change);
		}

		this.#index = Math.max(this.#index, index);
		if (this.#changes.length > MAX_CHANGES) {
			this.#trim();
		}
	}

	/** The changes after an index; undefined when some of them are no longer kept. */
	after(index: number): readonly StoreChange[] | undefined {
		if (index < this.#startIndex) {
			return undefined;
		}

		// Most of those who ask know all but the last few.
		const first = this.#changes.findLastIndex(change => indexOf(change) <= index) + 1;
		return this.#changes.slice(first).filter(change => !this.#replaced.has(change));
	}

	#add(change: StoreChange): void {
		const key = keyOf(change);
		const last = this.#lastByKey.get(key);
		if (last?.kind === 'written' && change.kind === 'written' && last.value.value.length >= LARGE_VALUE_BYTES) {
			this.#replaced.add(last);
		}

		this.#lastByKey.set(key, change);
		this.#changes.push(change);
	}

	/** Drops what was replaced, and then the oldest changes. */
	#trim(): void {
		this.#changes = this.#changes.filter(change => !this.#replaced.has(change));
		const surplus = this.#changes.length - MAX_CHANGES;
		if (surplus <= 0) {
			return;
		}

		this.#startIndex = indexOf(this.#changes[surplus - 1]!);
		for (const change of this.#changes.splice(0, surplus)) {
			if (this.#lastByKey.get(keyOf(change)) === change) {
				this.#lastByKey.delete(keyOf(change));
			}
		}
	}
}

function keyOf(change: StoreChange): string {
	return change.kind === 'written' ? change.value.key : change.key;
}

function indexOf(change: StoreChange): number {
	return change.kind === 'written' ? change.value.modifyIndex : change.modifyIndex;
}
