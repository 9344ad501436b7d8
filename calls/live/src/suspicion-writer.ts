/** Shares what this instance observed about requests that crash backend servers, as records in the store. */
import type {ShareAnswerOptions, ShareCrashOptions, SuspicionSharing} from '@pomelopick/calls.quarantine';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {InstanceId} from '@pomelopick/core.types';
import {SharedLease} from './shared-lease.js';
import {SUSPICION_PREFIX} from './suspicion-records.js';
import type {SuspicionRecord} from './suspicion-records.js';

/** Maximum number of records of each kind of one instance in the store; the oldest are overwritten. */
const MAX_RECORDS = 64;
const TIME_TO_LIVE_MS = 600_000;
/** Age from which a lease is not used for further records, in milliseconds, so that each record lasts at least for the rest of its time to live. */
const MAX_LEASE_AGE_MS = 300_000;
const MAX_FINGERPRINTS = 64;
/** Time in which the store usually accepts a record, in milliseconds; after it, urgent records are also sent directly. */
const PROMPT_WRITE_MS = 250;
/** Pause before records that the store did not accept are written again, in milliseconds. */
const RETRY_INTERVAL_MS = 500;

/** Options of {@link SuspicionWriter}. */
export interface SuspicionWriterOptions {
	readonly store: KeyValueStore;
	readonly instance: InstanceId;
	/** Sequence number before that of the first record; differs between runs of an instance. */
	readonly firstSequence: number;
	readonly onFailure: (error: StoreError) => void;
	/** Sends records to the other instances without the store. */
	readonly sendDirectly: (listRecords: () => readonly SuspicionRecord[]) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface KeptRecord {
	readonly record: SuspicionRecord;
	/** Monotonic time until which other instances need it, in milliseconds. */
	readonly neededUntilMs: number;
}

/** Writes the records of this instance. A record that the store did not accept, or that was removed early, is written again. */
export class SuspicionWriter implements SuspicionSharing {
	readonly #options: SuspicionWriterOptions;
	/** Records of this run of the instance, by key. */
	readonly #kept = new Map<string, KeptRecord>();
	/** Keys of records that may be missing from the store, in the order in which they are to be written. */
	readonly #unwritten = new Set<string>();
	readonly #lease: SharedLease;
	/** Numbers of the last records of crashes and of answers. Each kind has keys of its own, so that answers never overwrite crashes. */
	#crashes: number;
	#answers: number;
	#isRetrying = false;
	#isStopped = false;

	constructor(options: SuspicionWriterOptions) {
		this.#options = options;
		this.#crashes = options.firstSequence;
		this.#answers = options.firstSequence;
		const {store, onFailure, now} = options;
		this.#lease = new SharedLease({
			store, timeToLiveMs: TIME_TO_LIVE_MS, maxAgeMs: MAX_LEASE_AGE_MS, onFailure, now,
		});
	}

	/** Shares the crash of a server; resolves after the first attempt to write it. */
	readonly shareCrash = async ({crash: {origin, sequence, server, startedAtMs, fingerprints, spans, evidence}}: ShareCrashOptions): Promise<void> => {
		const record: SuspicionRecord = {
			kind: 'death', origin, sequence, server, startedAtMs, fingerprints: fingerprints.slice(0, MAX_FINGERPRINTS), spans: spans?.slice(0, MAX_FINGERPRINTS), evidence,
		};
		this.#crashes += 1;
		await this.#share({record, isUrgent: true, name: String(this.#crashes % MAX_RECORDS)});
	};

	/** Shares that a server answered a suspect; resolves after the first attempt to write it. */
	readonly shareAnswer = async ({fingerprint, isUrgent}: ShareAnswerOptions): Promise<void> => {
		const record: SuspicionRecord = {
			kind: 'cleared', origin: this.#options.instance, sequence: this.#answers + 1, fingerprint,
		};
		this.#answers += 1;
		await this.#share({record, isUrgent, name: `answer-${this.#answers % MAX_RECORDS}`});
	};

	/** Handles the removal of a key from the store: a record of this instance that is still needed is written again. */
	restore(key: string): void {
		if (this.#kept.has(key)) {
			this.#lease.drop();
			this.#unwritten.add(key);
			void this.#retry();
		}
	}

	/** Writes all records again that are still needed, since the store has returned from an older copy that may lack them. */
	restoreAll(): void {
		for (const key of this.#kept.keys()) {
			this.restore(key);
		}
	}

	/** Stops writing. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Writes a record; if it is urgent and the store does not accept it promptly, it is also sent to the other instances directly. */
	async #share({record, isUrgent, name}: {readonly record: SuspicionRecord; readonly isUrgent: boolean; readonly name: string}): Promise<void> {
		const {instance, now, sleep} = this.#options;
		const key = `${SUSPICION_PREFIX}${instance}/${name}`;
		this.#kept.set(key, {record, neededUntilMs: now() + TIME_TO_LIVE_MS});
		this.#unwritten.add(key);
		const written = this.#write(key);
		const isPrompt = await Promise.race([written, sleep(PROMPT_WRITE_MS)]);
		if (isUrgent && isPrompt !== true) {
			this.#sendUnwritten();
		}

		if (!await written) {
			void this.#retry();
		}
	}

	#sendUnwritten(): void {
		this.#options.sendDirectly(() => [...this.#unwritten].flatMap(key => this.#kept.get(key)?.record ?? []));
	}

	/** Writes the missing records repeatedly until the store has all of them. */
	async #retry(): Promise<void> {
		if (this.#isRetrying) {
			return;
		}

		this.#isRetrying = true;
		while (this.#unwritten.size > 0 && !this.#isStopped) {
			await this.#options.sleep(RETRY_INTERVAL_MS);
			await this.#writeAll();
		}

		this.#isRetrying = false;
	}

	/** Writes the missing records in order until the first failure. */
	async #writeAll(): Promise<void> {
		for (const key of this.#unwritten) {
			if (this.#isStopped || !await this.#write(key)) {
				return;
			}
		}
	}

	/** Writes one record; returns whether the store has it or it is no longer needed. */
	async #write(key: string): Promise<boolean> {
		const {store, onFailure, now} = this.#options;
		const kept = this.#kept.get(key);
		if (!kept || now() >= kept.neededUntilMs) {
			this.#kept.delete(key);
			this.#unwritten.delete(key);
			return true;
		}

		const lease = await this.#lease.get();
		if (lease === undefined) {
			return false;
		}

		const written = await store.put({key, value: new TextEncoder().encode(JSON.stringify(kept.record)), lease}).run();
		written.ifLeft(error => {
			this.#lease.drop();
			onFailure(error);
		}).ifRight(() => {
			if (this.#kept.get(key) === kept) {
				this.#unwritten.delete(key);
			}
		});
		return written.isRight();
	}
}
