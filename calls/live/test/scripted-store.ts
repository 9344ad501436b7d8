/** A store with scripted outcomes that can return from a copy, and a client of it. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {splitIndex, toIndex} from '@pomelopick/platform.store';
import type {KeyValueStore, StoredValue, StoreError} from '@pomelopick/platform.store';

/** Outcome of a store write: `done-and-lost` is written but its answer is lost, `lost` is neither written nor answered. */
export type StoreOutcome = 'answered' | 'done-and-lost' | 'lost' | 'refused';

/** The operations of a store that claims use, with scripted outcomes. */
export class ScriptedStore {
	readonly values = new Map<string, StoredValue>();
	next: StoreOutcome = 'answered';
	writes = 0;
	/** Rises each time the store returns from a copy. */
	era = 0;
	#revision = 0;
	#copy = {revision: 0, values: new Map<string, StoredValue>()};

	/** Copies the store for a return. */
	copy(): void {
		this.#copy = {revision: this.#revision, values: new Map(this.values)};
	}

	/** Returns to the last copy: later writes are gone, and their revisions are given out again. */
	returnFromCopy(): void {
		this.era += 1;
		this.#revision = this.#copy.revision;
		this.values.clear();
		for (const [key, value] of this.#copy.values) {
			this.values.set(key, {...value, modifyIndex: this.#toIndex(splitIndex(value.modifyIndex).revision)});
		}
	}

	readonly compareAndSwapForIndex: KeyValueStore['compareAndSwapForIndex'] = ({key, value, expectedIndex}) => {
		this.writes += 1;
		const outcome = this.next;
		if (outcome === 'refused') {
			return failed({code: 'rate-limited', message: 'too many calls'});
		}

		// The store knows nothing of eras: it compares revisions.
		const isMatch = splitIndex(this.values.get(key)?.modifyIndex ?? 0).revision === splitIndex(expectedIndex).revision;
		if (isMatch && outcome !== 'lost') {
			this.#revision += 1;
			this.values.set(key, {key, value, modifyIndex: this.#toIndex(this.#revision)});
		}

		return outcome === 'answered' ? EitherAsync.liftEither(Right(isMatch ? this.#toIndex(this.#revision) : undefined)) : failed({code: 'undecided', message: 'no answer'});
	};

	#toIndex(revision: number): number {
		return toIndex({era: this.era, revision});
	}
}

/** A client of the store that knows its era, as an instance has. */
export class EraClient {
	#era: number;
	readonly #store: ScriptedStore;
	readonly #onReturn: () => void;

	constructor({store, onReturn}: {readonly store: ScriptedStore; readonly onReturn: () => void}) {
		this.#store = store;
		this.#era = store.era;
		this.#onReturn = onReturn;
	}

	readonly compareAndSwapForIndex: KeyValueStore['compareAndSwapForIndex'] = options => {
		if (options.expectedIndex !== 0 && splitIndex(options.expectedIndex).era !== this.#era) {
			return EitherAsync.liftEither(Right(undefined));
		}

		const result = this.#store.compareAndSwapForIndex(options);
		return this.observe() ? failed({code: 'undecided', message: 'the store returned'}) : result;
	};

	/** Learns of the era, as from any answer; returns whether it has risen. */
	observe(): boolean {
		const hasRisen = this.#store.era > this.#era;
		this.#era = this.#store.era;
		if (hasRisen) {
			this.#onReturn();
		}

		return hasRisen;
	}
}

function failed(error: StoreError): EitherAsync<StoreError, never> {
	return EitherAsync.liftEither(Left(error));
}
