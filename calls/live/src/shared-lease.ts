/** A lease that several records in the store share, granted on first use and replaced before its end. */
import type {KeyValueStore, LeaseId, StoreError} from '@pomelopick/platform.store';

/** Options of {@link SharedLease}. */
export interface SharedLeaseOptions {
	readonly store: KeyValueStore;
	/** Time to live of the lease, in milliseconds. It is not renewed. */
	readonly timeToLiveMs: number;
	/** Age from which it is not used for further records, in milliseconds, so that each record lasts at least for the rest of the time to live. */
	readonly maxAgeMs: number;
	readonly onFailure: (error: StoreError) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Grants and keeps the lease. */
export class SharedLease {
	readonly #options: SharedLeaseOptions;
	#lease: {readonly id: LeaseId; readonly grantedAtMs: number} | undefined;

	constructor(options: SharedLeaseOptions) {
		this.#options = options;
	}

	/** The lease for a record that is written now; undefined when the store did not grant one. */
	async get(): Promise<LeaseId | undefined> {
		const {store, timeToLiveMs, maxAgeMs, now, onFailure} = this.#options;
		if (this.#lease && now() - this.#lease.grantedAtMs < maxAgeMs) {
			return this.#lease.id;
		}

		const grantedAtMs = now();
		const granted = await store.grantLease({timeToLiveMs}).run();
		granted.ifLeft(onFailure).ifRight(id => {
			this.#lease = {id, grantedAtMs};
		});
		return this.#lease?.id;
	}

	/** Makes the next call of {@link get} grant another lease: this one may have ended early. */
	drop(): void {
		this.#lease = undefined;
	}
}
