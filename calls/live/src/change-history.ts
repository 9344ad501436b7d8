/** The store's last changes, for instances that know an earlier index. */
import type {StoreChange} from '@pomelopick/platform.store';

/** Changes that are kept; older ones are forgotten first. */
const MOST_CHANGES = 4096;

/** Changes in their order, from an index on without a gap. */
export class ChangeHistory {
	#changes: StoreChange[] = [];
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
		this.#changes.push(...changes);
		this.#index = Math.max(this.#index, index);
		const surplus = this.#changes.length - MOST_CHANGES;
		if (surplus > 0) {
			this.#startIndex = indexOf(this.#changes[surplus - 1]!);
			this.#changes = this.#changes.slice(surplus);
		}
	}

	/** The changes after an index; undefined when some of them are no longer kept. */
	after(index: number): readonly StoreChange[] | undefined {
		if (index < this.#startIndex) {
			return undefined;
		}

		// Most of those who ask know all but the last few.
		const first = this.#changes.findLastIndex(change => indexOf(change) <= index) + 1;
		return this.#changes.slice(first);
	}
}

function indexOf(change: StoreChange): number {
	return change.kind === 'written' ? change.value.modifyIndex : change.modifyIndex;
}
