/** Shares what instances saw of requests that crash backend servers, as records in the store. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RequestFingerprint, ServerDeath, SuspicionSharing} from '@pomelopick/calls.quarantine';
import type {KeyValueStore, LeaseId, StoreError} from '@pomelopick/platform.store';
import type {BackendServerName, CodedError, InstanceId} from '@pomelopick/core.types';
import type {BeliefChange} from './belief-change.js';
import type {RecordReader} from './record-reader.js';

/** Prefix of the keys under which instances write what they saw. */
export const SUSPICION_PREFIX = 'pomelopick/suspicions/';

/** Records that one instance has in the store at most; the oldest are written over. */
const MOST_RECORDS = 64;
const TIME_TO_LIVE_MS = 600_000;
/** Age of the lease from which on another one is used, in milliseconds, so that a record lasts at least the rest. */
const LEASE_USED_MS = 300_000;
const MOST_FINGERPRINTS = 64;
const FINGERPRINT_PATTERN = /^[\da-f]{64}$/u;
const SHOWN_CHARACTERS = 200;

/** What one instance saw. */
export type SuspicionRecord =
	| {readonly kind: 'death'; readonly origin: InstanceId; readonly sequence: number; readonly server: BackendServerName; readonly fingerprints: readonly RequestFingerprint[]}
	| {readonly kind: 'cleared'; readonly origin: InstanceId; readonly sequence: number; readonly fingerprint: RequestFingerprint};

/** Decodes a record; Left says what is wrong with it. */
export function decodeSuspicion(bytes: Uint8Array): Either<CodedError, SuspicionRecord> {
	try {
		const record = JSON.parse(new TextDecoder().decode(bytes)) as SuspicionRecord;
		const isWhole = typeof record.origin === 'string' && Number.isInteger(record.sequence);
		const isDeath = record.kind === 'death' && typeof record.server === 'string' && Array.isArray(record.fingerprints) && record.fingerprints.every(text => isFingerprint(text));
		const isCleared = record.kind === 'cleared' && isFingerprint(record.fingerprint);
		const message = `a field is missing or of another type: ${JSON.stringify(record).slice(0, SHOWN_CHARACTERS)}`;
		return isWhole && (isDeath || isCleared) ? Right(record) : Left({code: 'malformed-suspicion', message});
	} catch (error) {
		return Left({code: 'malformed-suspicion', message: (error as Error).message});
	}
}

/** Options of {@link suspicionReader}. */
export interface SuspicionReaderOptions {
	readonly onRecord: (record: SuspicionRecord) => void;
	/** Told of each record that cannot be read. */
	readonly onRefused: (change: BeliefChange) => void;
}

/** Reads the records of all instances, this one's own included. */
export function suspicionReader({onRecord, onRefused}: SuspicionReaderOptions): RecordReader {
	return {
		prefix: SUSPICION_PREFIX,
		write({key, value, modifyIndex}) {
			decodeSuspicion(value).ifLeft(({message}) => {
				onRefused({
					event: 'suspicion-refused', subject: key, detail: message, storeIndex: modifyIndex,
				});
			}).ifRight(record => {
				onRecord(record);
			});
		},
	};
}

function isFingerprint(text: unknown): boolean {
	return typeof text === 'string' && FINGERPRINT_PATTERN.test(text);
}

/** Options of {@link SuspicionWriter}. */
export interface SuspicionWriterOptions {
	readonly store: KeyValueStore;
	readonly instance: InstanceId;
	/** Number of the first record; differs between lives of an instance. */
	readonly firstSequence: number;
	readonly onFailure: (error: StoreError) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Writes the records of this instance. */
export class SuspicionWriter implements SuspicionSharing {
	readonly #options: SuspicionWriterOptions;
	#sequence: number;
	#lease: {readonly id: LeaseId; readonly grantedAtMs: number} | undefined;

	constructor(options: SuspicionWriterOptions) {
		this.#options = options;
		this.#sequence = options.firstSequence;
	}

	/** Tells the other instances of a death. */
	readonly shareDeath = async ({death: {origin, sequence, server, fingerprints}}: {readonly death: ServerDeath}): Promise<void> => {
		await this.#write({
			kind: 'death', origin, sequence, server, fingerprints: fingerprints.slice(0, MOST_FINGERPRINTS),
		});
	};

	/** Tells the other instances that a suspect was run to its end. */
	readonly shareCleared = async (fingerprint: RequestFingerprint): Promise<void> => {
		await this.#write({
			kind: 'cleared', origin: this.#options.instance, sequence: this.#sequence, fingerprint,
		});
	};

	async #write(record: SuspicionRecord): Promise<void> {
		const {store, instance, onFailure} = this.#options;
		this.#sequence += 1;
		const key = `${SUSPICION_PREFIX}${instance}/${this.#sequence % MOST_RECORDS}`;
		const lease = await this.#useLease();
		if (lease === undefined) {
			return;
		}

		const written = await store.put({key, value: new TextEncoder().encode(JSON.stringify(record)), lease}).run();
		written.ifLeft(error => {
			this.#lease = undefined;
			onFailure(error);
		});
	}

	async #useLease(): Promise<LeaseId | undefined> {
		const {store, now, onFailure} = this.#options;
		if (this.#lease && now() - this.#lease.grantedAtMs < LEASE_USED_MS) {
			return this.#lease.id;
		}

		const grantedAtMs = now();
		const granted = await store.grantLease({timeToLiveMs: TIME_TO_LIVE_MS}).run();
		granted.ifLeft(onFailure).ifRight(id => {
			this.#lease = {id, grantedAtMs};
		});
		return this.#lease?.id;
	}
}
