/** An in-memory key-value store whose responses a test can delay, lose or replace by errors. */
import {EitherAsync, Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
	CompareAndSwapOptions, KeyValueStore, LeaseId, StoreChanges, StoredValue, StoreError, WatchResult,
} from '@pomelopick/platform.store';

/** Outcome of one call. `answer-lost`: it takes effect, but its response is lost. `late`: its response is lost and it takes effect later. */
export type CallOutcome = 'served' | 'answer-lost' | 'refused' | 'late' | 'rate-limited';

/** Options of {@link MemoryStore}. */
export interface MemoryStoreOptions {
	/** Returns the outcome of the next call. */
	readonly nextOutcome: (kind: 'read' | 'write') => CallOutcome;
	/** Delays a step, as a network would. */
	readonly delay: (label: string) => Promise<void>;
}

/** The stored keys, shared by all clients that a test creates. */
export class MemoryStore {
	readonly values = new Map<string, StoredValue>();
	readonly counts = {reads: 0, writes: 0};
	#index = 0;

	swap({key, value, expectedIndex}: CompareAndSwapOptions): number | undefined {
		if ((this.values.get(key)?.modifyIndex ?? 0) !== expectedIndex) {
			return undefined;
		}

		this.#index += 1;
		this.values.set(key, {key, value, modifyIndex: this.#index});
		return this.#index;
	}

	remove({key, expectedIndex}: {readonly key: string; readonly expectedIndex: number}): boolean {
		return this.values.get(key)?.modifyIndex === expectedIndex && this.values.delete(key);
	}

	/** Creates a client with its own faults and delays. */
	client({nextOutcome, delay}: MemoryStoreOptions): KeyValueStore {
		const read = <Value>(readValue: () => Value): EitherAsync<StoreError, Value> => EitherAsync.fromPromise(async (): Promise<Either<StoreError, Value>> => {
			this.counts.reads += 1;
			const outcome = nextOutcome('read');
			await delay('read');
			if (outcome !== 'served') {
				return Left({code: 'unavailable', message: outcome});
			}

			const value = readValue();
			await delay('read response');
			return Right(value);
		});
		const write = <Result>(change: () => Result): EitherAsync<StoreError, Result> => EitherAsync.fromPromise(async (): Promise<Either<StoreError, Result>> => {
			this.counts.writes += 1;
			const outcome = nextOutcome('write');
			await delay('write');
			switch (outcome) {
				case 'refused': {
					return Left({code: 'unavailable', message: outcome});
				}

				case 'rate-limited': {
					return Left({code: 'rate-limited', message: outcome});
				}

				case 'late': {
					void applyLate({delay, change});
					return Left({code: 'undecided', message: outcome});
				}

				default: {
					const result = change();
					await delay('write response');
					return outcome === 'served' ? Right(result) : Left({code: 'undecided', message: outcome});
				}
			}
		});
		return {
			get: key => read(() => this.values.get(key)),
			list: prefix => read(() => [...this.values.values()].filter(({key}) => key.startsWith(prefix))),
			snapshot: () => read((): WatchResult => ({values: [], index: 0})),
			put: () => read(() => undefined),
			changes: () => read((): StoreChanges => ({kind: 'history-lost'})),
			compareAndSwap: options => write(() => this.swap(options) !== undefined),
			compareAndSwapForIndex: options => write(() => this.swap(options)),
			compareAndDelete: options => write(() => this.remove(options)),
			watch: () => read((): WatchResult => ({values: [], index: 0})),
			grantLease: () => read(() => '' as LeaseId),
			renewLease: () => read(() => false),
			revokeLease: () => read(() => undefined),
			async close() {/* Nothing to close. */},
		};
	}
}

async function applyLate({delay, change}: {readonly delay: MemoryStoreOptions['delay']; readonly change: () => unknown}): Promise<void> {
	await delay('late write');
	change();
}
