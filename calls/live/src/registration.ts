/** Keeps this instance's record in the store under a lease, so that the record is removed when the instance stops renewing it. */
import type {KeyValueStore, LeaseId, StoreError} from '@pomelopick/platform.store';
import {encodeInstance, instanceKey} from './instance-record.js';
import type {InstanceRecord} from './instance-record.js';

const LEASE_TTL_MS = 4800;
const RENEWAL_INTERVAL_MS = 1600;
const RETRY_INTERVAL_MS = 300;

/** Options of {@link Registration}. */
export interface RegistrationOptions {
	readonly store: KeyValueStore;
	readonly record: InstanceRecord;
	/** Called when the record was written, and when its lease was found to have expired (`lapsed`). */
	readonly onState: (state: 'registered' | 'lapsed') => void;
	readonly onFailure: (error: StoreError) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
}

/** Registration of one instance. */
export class Registration {
	readonly #options: RegistrationOptions;
	#lease: LeaseId | undefined;
	#isLeaving = false;
	#isWritten = false;
	/** Ends the pause before the next round. */
	#wake: (() => void) | undefined;

	constructor(options: RegistrationOptions) {
		this.#options = options;
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

		const renewed = await this.#options.store.renewLease(this.#lease).run();
		renewed.ifLeft(this.#options.onFailure);
		if (renewed.orDefault(true)) {
			return renewed.isRight();
		}

		this.#options.onState('lapsed');
		this.restore();
		return this.#register();
	}

	async #register(): Promise<boolean> {
		const granted = await this.#options.store.grantLease({timeToLiveMs: LEASE_TTL_MS}).run();
		if (granted.isLeft() || this.#isLeaving) {
			granted.ifLeft(this.#options.onFailure);
			return false;
		}

		this.#lease = granted.unsafeCoerce();
		return this.#write(this.#lease);
	}

	async #write(lease: LeaseId): Promise<boolean> {
		const {store, record, onState, onFailure} = this.#options;
		const written = await store.put({key: instanceKey(record.id), value: encodeInstance(record), lease}).run();
		written.ifLeft(error => {
			onFailure(error);
			if (error.code === 'rejected') {
				// The lease expired before the write.
				this.#lease = undefined;
			}
		}).ifRight(() => {
			this.#isWritten = true;
			onState('registered');
		});
		return written.isRight();
	}
}
