/**
 * The store's most recent changes, for instances that are at an earlier index.
 *
 * Of several large values of one key only the last is returned, unless the key was removed in between: an instance that
 * lags behind while a configuration is written repeatedly gets it once. Small values are all returned, since the
 * remaining warm-up that a server reports counts from the time of the report.
 */
import type {StoreChange} from '@pomelopick/platform.store';

/** Maximum number of changes that are kept; the oldest are dropped first. */
const MAX_CHANGES = 4096;
/** Size from which a value counts as large, in bytes. */
const LARGE_VALUE_BYTES = 4096;

/** Changes in order and without gaps, starting at an index. */
export class ChangeHistory {
	#changes: StoreChange[] = [];
	/** Last kept change of each key. */
	readonly #lastByKey = new Map<string, StoreChange>();
	/** Large values that a later write of their key replaced. */
	readonly #replaced = new WeakSet<StoreChange>();
	#startIndex: number;
	#index: number;

	/** Creates an empty history that starts after an index of the store. */
	constructor({index}: {readonly index: number}) {
		this.#startIndex = index;
		this.#index = index;
	}

	/** Index up to which all changes were appended. */
	get index(): number {
		return this.#index;
	}

	/** Appends the changes between the current index and a later one. */
	append({changes, index}: {readonly changes: readonly StoreChange[]; readonly index: number}): void {
		for (const change of changes) {
			this.#add(change);
		}

		this.#index = Math.max(this.#index, index);
		if (this.#changes.length > MAX_CHANGES) {
			this.#trim();
		}
	}

	/** Returns the changes after an index; undefined when some of them are no longer kept. */
	after(index: number): readonly StoreChange[] | undefined {
		if (index < this.#startIndex) {
			return undefined;
		}

		// Searches from the end, since most requesting instances lack only the last few changes.
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

	/** Drops replaced values first, and then the oldest changes. */
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
