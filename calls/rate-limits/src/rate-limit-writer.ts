/** Keeps records of the rate limits in the store, so that instances that start later know them. Only the owner of a server writes its record. */
import {SharedLease} from '@pomelopick/calls.live';
import type {KeyValueStore, StoreError} from '@pomelopick/platform.store';
import type {RateLimitRecord} from '@pomelopick/steering.servers';
import {encodeRateLimit, rateLimitKey} from './rate-limit-records.js';

/** Time to live of a record, in milliseconds: what is left of a server that is gone disappears. */
const TIME_TO_LIVE_MS = 60_000;
/** Age from which the record of a server that still names a limit is written again, in milliseconds. */
const REFRESH_MS = 30_000;
/** Interval at which records are checked while there are any to write, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;

/** Options of {@link RateLimitWriter}. */
export interface RateLimitWriterOptions {
	readonly store: KeyValueStore;
	/** Records about servers that are registered, including ended limits. */
	readonly listRecords: () => readonly RateLimitRecord[];
	/** Whether this instance owns a server. */
	readonly isOwner: (record: RateLimitRecord) => boolean;
	readonly onFailure: (error: StoreError) => void;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface StoredRecord {
	readonly version: number;
	/** Monotonic time at which this instance wrote it or learned of it, in milliseconds. */
	readonly atMs: number;
}

/** Writes the records of the servers that this instance owns. Does nothing while no server has named a limit. */
export class RateLimitWriter {
	readonly #options: RateLimitWriterOptions;
	readonly #lease: SharedLease;
	/** Records in the store, by key. */
	readonly #stored = new Map<string, StoredRecord>();
	#isRunning = false;
	#isStopped = false;

	constructor(options: RateLimitWriterOptions) {
		this.#options = options;
		const {store, onFailure, now} = options;
		this.#lease = new SharedLease({
			store, timeToLiveMs: TIME_TO_LIVE_MS, maxAgeMs: TIME_TO_LIVE_MS - REFRESH_MS, onFailure, now,
		});
	}

	/** Records that the store has a record. */
	observe({name, version}: RateLimitRecord): void {
		this.#stored.set(rateLimitKey(name), {version, atMs: this.#options.now()});
	}

	/** Starts to write records, after something new was learned; resolves when nothing is left to write. */
	async run(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		while (!this.#isStopped && this.#mayBecomeDue()) {
			for (const record of this.#options.listRecords().filter(listed => this.#isDue(listed) && this.#options.isOwner(listed))) {
				await this.#write(record);
			}

			await this.#options.sleep(CHECK_INTERVAL_MS);
		}

		this.#isRunning = false;
	}

	/** Removes the state of a server. */
	forget(server: RateLimitRecord['name']): void {
		this.#stored.delete(rateLimitKey(server));
	}

	/** Writes the records of the own servers again, since the store has returned from an older copy that may lack them. */
	restoreAll(): void {
		this.#lease.drop();
		this.#stored.clear();
		void this.run();
	}

	/** Stops writing. */
	stop(): void {
		this.#isStopped = true;
	}

	#mayBecomeDue(): boolean {
		return this.#options.listRecords().some(record => record.requestsPerSecond !== undefined || this.#isDue(record));
	}

	#isDue({name, version, requestsPerSecond}: RateLimitRecord): boolean {
		const stored = this.#stored.get(rateLimitKey(name));
		return stored === undefined || stored.version < version || (requestsPerSecond !== undefined && this.#options.now() - stored.atMs >= REFRESH_MS);
	}

	async #write(record: RateLimitRecord): Promise<void> {
		const {store, onFailure} = this.#options;
		const lease = await this.#lease.get();
		if (lease === undefined) {
			return;
		}

		const written = await store.put({key: rateLimitKey(record.name), value: encodeRateLimit(record), lease}).run();
		written.ifLeft(error => {
			this.#lease.drop();
			onFailure(error);
		}).ifRight(() => {
			this.observe(record);
		});
	}
}
