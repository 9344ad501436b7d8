/** A store that only its own instance can see: what is left when owners keep their tables in memory. */
import {EitherAsync, Right} from 'purify-ts';
import type {
	CompareAndSwapOptions, KeyValueStore, LeaseId, StoreChanges, StoredValue, StoreError, WatchResult,
} from '@pomelopick/platform.store';

/** A {@link KeyValueStore} in this process. */
export class PrivateStore implements KeyValueStore {
	readonly #values = new Map<string, StoredValue>();
	#index = 0;

	get(key: string): EitherAsync<StoreError, StoredValue | undefined> {
		return answer(this.#values.get(key));
	}

	list(prefix: string): EitherAsync<StoreError, readonly StoredValue[]> {
		return answer([...this.#values.values()].filter(({key}) => key.startsWith(prefix)));
	}

	snapshot(): EitherAsync<StoreError, WatchResult> {
		return this.watch();
	}

	put({key, value}: Omit<CompareAndSwapOptions, 'expectedIndex'>): EitherAsync<StoreError, void> {
		return this.compareAndSwap({key, value, expectedIndex: this.#values.get(key)?.modifyIndex ?? 0}).void();
	}

	changes(): EitherAsync<StoreError, StoreChanges> {
		return answer({kind: 'history-lost'});
	}

	compareAndSwap(options: CompareAndSwapOptions): EitherAsync<StoreError, boolean> {
		return this.compareAndSwapForIndex(options).map(index => index !== undefined);
	}

	compareAndSwapForIndex({key, value, expectedIndex}: CompareAndSwapOptions): EitherAsync<StoreError, number | undefined> {
		if ((this.#values.get(key)?.modifyIndex ?? 0) !== expectedIndex) {
			return answer(undefined);
		}

		this.#index += 1;
		this.#values.set(key, {key, value, modifyIndex: this.#index});
		return answer(this.#index);
	}

	compareAndDelete({key, expectedIndex}: {readonly key: string; readonly expectedIndex: number}): EitherAsync<StoreError, boolean> {
		return answer(this.#values.get(key)?.modifyIndex === expectedIndex && this.#values.delete(key));
	}

	watch(): EitherAsync<StoreError, WatchResult> {
		return answer({values: [], index: this.#index});
	}

	grantLease(): EitherAsync<StoreError, LeaseId> {
		return answer('' as LeaseId);
	}

	renewLease(): EitherAsync<StoreError, boolean> {
		return answer(false);
	}

	revokeLease(): EitherAsync<StoreError, void> {
		return answer(undefined);
	}

	async close(): Promise<void> {/* Nothing is open. */}
}

function answer<Value>(value: Value): EitherAsync<StoreError, Value> {
	return EitherAsync.liftEither(Right(value));
}
