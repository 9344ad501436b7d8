/** Keeps this instance's record in the store under a lease, so that the record is removed when the instance stops renewing it. */
import type {KeyValueStore, LeaseId, StoreError} from '@pomelopick/platform.store';
import {encodeInstance, instanceKey} from './instance-record.js';
import type {InstanceRecord} from './instance-record.js';

const LEASE_TTL_MS = 4800;
const RENEWAL_INTERVAL_MS = 1600;
const RETRY_INTERVAL_MS = 300;
/** Minimum number of renewals from one write of a changed record to the next: more than 5 s, as the platform charges for writes. */
const RENEWALS_PER_UPDATE = 4;

/** Options of {@link Registration}. */
export interface RegistrationOptions {
	readonly store: KeyValueStore;
	readonly record: InstanceRecord;
	/** Called when a renewal or a write has confirmed the record and its lease, with the monotonic time just before the call that granted or renewed the lease was sent, in milliseconds. */
	readonly onConfirmed?: (sentAtMs: number) => void;
	/** Called when the record was written, and when its lease was found to have expired (`lapsed`). */
	readonly onState: (state: 'registered' | 'lapsed') => void;
	readonly onFailure: (error: StoreError) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Registration of one instance. */
export class Registration {
	readonly #options: RegistrationOptions;
	#lease: LeaseId | undefined;
	/** Monotonic time just before the call that granted or last renewed the lease, in milliseconds. */
	#leaseSentAtMs = Number.NEGATIVE_INFINITY;
	#isLeaving = false;
	#isWritten = false;
	#record: InstanceRecord;
	/** Whether the record has changed since it was written. */
	#isChanged = false;
	/** Renewals since the last write of a changed record. */
	#renewals = RENEWALS_PER_UPDATE;
	/** Ends the pause before the next round. */
	#wake: (() => void) | undefined;

	constructor(options: RegistrationOptions) {
		this.#options = options;
		this.#record = options.record;
	}

	/** Changes the record. It is written with a later renewal of the lease, with at least 5 s between two such writes. */
	update(record: InstanceRecord): void {
		this.#record = record;
		this.#isChanged = true;
	}

	/** Writes the record and renews its lease; resolves after {@link leave} was called. */
	async run(): Promise<void> {
		while (!this.#isLeaving) {
			const isKept = await this.#keepRegistered();
			await this.#pause(isKept ? RENEWAL_INTERVAL_MS : RETRY_INTERVAL_MS);
		}
	}

	/** Writes the record again; called when it was removed while this instance is running, or when the store may have lost it. */
	restore(): void {
		this.#isWritten = false;
		this.#lease = undefined;
		this.#wake?.();
	}

	/** Removes the record. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		const lease = this.#lease;
		this.#lease = undefined;
		if (lease !== undefined) {
			const ended = await this.#options.store.revokeLease(lease).run();
			ended.ifLeft(this.#options.onFailure);
		}
	}

	async #pause(milliseconds: number): Promise<void> {
		const woken = new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		await Promise.race([this.#options.sleep(milliseconds), woken]);
	}

	async #keepRegistered(): Promise<boolean> {
		if (this.#lease === undefined) {
			return this.#register();
		}

		if (!this.#isWritten) {
			return this.#write(this.#lease);
		}

		const lease = this.#lease;
		const sentAtMs = this.#options.now();
		const renewed = await this.#options.store.renewLease(lease).run();
		renewed.ifLeft(this.#options.onFailure).ifRight(isRenewed => {
			// The record may have been removed, or the store have returned from an older copy, while the call was in progress.
			if (isRenewed && this.#lease === lease && this.#isWritten) {
				this.#options.onConfirmed?.(sentAtMs);
			}
		});
		if (renewed.orDefault(true)) {
			if (renewed.isRight()) {
				await this.#writeChange(this.#lease);
			}

			return renewed.isRight();
		}

		this.#options.onState('lapsed');
		this.restore();
		return this.#register();
	}

	/** Writes a changed record. After a failure, it is written at a later renewal. */
	async #writeChange(lease: LeaseId | undefined): Promise<void> {
		this.#renewals += 1;
		if (this.#isChanged && lease !== undefined && !this.#isLeaving && this.#renewals >= RENEWALS_PER_UPDATE) {
			this.#renewals = 0;
			await this.#write(lease);
		}
	}

	async #register(): Promise<boolean> {
		this.#leaseSentAtMs = this.#options.now();
		const granted = await this.#options.store.grantLease({timeToLiveMs: LEASE_TTL_MS}).run();
		if (granted.isLeft() || this.#isLeaving) {
			granted.ifLeft(this.#options.onFailure);
			return false;
		}

		this.#lease = granted.unsafeCoerce();
		return this.#write(this.#lease);
	}

	async #write(lease: LeaseId): Promise<boolean> {
		const {store, onState, onConfirmed, onFailure} = this.#options;
		const record = this.#record;
		const leaseSentAtMs = this.#leaseSentAtMs;
		const written = await store.put({key: instanceKey(record.id), value: encodeInstance(record), lease}).run();
		written.ifLeft(error => {
			onFailure(error);
			if (error.code === 'rejected') {
				// The lease expired before the write.
				this.#lease = undefined;
			}
		}).ifRight(() => {
			this.#isWritten = true;
			this.#isChanged = this.#record !== record;
			if (this.#lease === lease) {
				onConfirmed?.(leaseSentAtMs);
			}

			onState('registered');
		});
		return written.isRight();
	}
}
