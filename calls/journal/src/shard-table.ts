/**
 * Records of one shard, built by applying the entries of its log in order.
 *
 * A caller may send a call several times under one idempotency key; each of these requests is a copy of the call. Before
 * a copy runs, an intent is written for its key; afterwards its outcome is written.
 */
import type {JournalEntry, JournalKey, KeptOutcome} from '@pomelopick/peer.protocol';

/** Time after its deadline for which a call is still treated as in flight, in milliseconds. */
const IN_FLIGHT_MARGIN_MS = 1000;

/** Record of one idempotency key. */
export interface JournalRecord {
	/** Digest of the request that the copy carries. */
	readonly fingerprint: string;
	/** Identifies the copy that wrote the intent. */
	readonly token: string;
	/** Time of the record, in milliseconds since the epoch; the record expires when the horizon of the table reaches it. */
	readonly atMs: number;
	/** Monotonic time until which the call may be running, in milliseconds. */
	readonly inFlightUntilMs: number;
	/** How the call ended; undefined until that is written. */
	outcome: KeptOutcome | undefined;
}

/** Result of checking a copy of a call against the records. */
export type CopyCheckResult =
	/** The key has no record. */
	| {readonly kind: 'absent'}
	/** The intent of this same copy is written, so it may run. */
	| {readonly kind: 'granted'}
	/** The key was used for a different request. */
	| {readonly kind: 'conflict'}
	/** Another copy may still be running. */
	| {readonly kind: 'in-flight'}
	/** Another copy may have run; its outcome is not known. */
	| {readonly kind: 'unknown'}
	/** The key is so old that its record may have been deleted. */
	| {readonly kind: 'expired'}
	/** Another copy has completed; its outcome is returned. */
	| {readonly kind: 'replay'; readonly outcome: KeptOutcome};

/** Options of {@link ShardTable.checkCopy}. */
export interface CheckCopyOptions {
	readonly key: JournalKey;
	readonly fingerprint: string;
	readonly token: string;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The records of one shard. */
export class ShardTable {
	readonly #records = new Map<string, JournalRecord>();
	/** Records of this time and earlier are deleted, in milliseconds since the epoch. */
	#horizonMs = 0;

	/** Number of records. */
	get size(): number {
		return this.#records.size;
	}

	/** Record of a key. */
	get(digest: string): JournalRecord | undefined {
		return this.#records.get(digest);
	}

	/** Whether a key is older than the records that are kept; false for a key without a time. */
	isExpired({mintedAtMs}: JournalKey): boolean {
		return mintedAtMs > 0n && Number(mintedAtMs) <= this.#horizonMs;
	}

	/** Checks a copy against the records. An intent may be written only if the result is `absent`. */
	checkCopy({key, fingerprint, token, nowMs}: CheckCopyOptions): CopyCheckResult {
		const record = this.#records.get(key.digest);
		if (!record) {
			return {kind: this.isExpired(key) ? 'expired' : 'absent'};
		}

		if (record.fingerprint !== fingerprint) {
			return {kind: 'conflict'};
		}

		if (record.outcome) {
			// Status 1 is `UNKNOWN_STATUS`: the call may have been run, but its response was not recorded.
			return record.outcome.status === 1 ? {kind: 'unknown'} : {kind: 'replay', outcome: record.outcome};
		}

		// The copy that wrote the intent asks again because it got no reply, so it was not sent to a backend server yet.
		if (record.token === token) {
			return {kind: 'granted'};
		}

		return {kind: nowMs < record.inFlightUntilMs ? 'in-flight' : 'unknown'};
	}

	/** Applies one entry. Applying the newest part of a log again has no effect. */
	apply({entry, nowMs}: {readonly entry: JournalEntry; readonly nowMs: number}): void {
		const {digest, token, change} = entry;
		const record = this.#records.get(digest);
		switch (change.case) {
			case 'intent': {
				const {fingerprint, atMs, timeLeftMs} = change.value;
				const inFlightUntilMs = record?.token === token ? record.inFlightUntilMs : nowMs + timeLeftMs + IN_FLIGHT_MARGIN_MS;
				this.#records.set(digest, {
					fingerprint, token, atMs: Number(atMs), inFlightUntilMs, outcome: undefined,
				});
				break;
			}

			case 'outcome': {
				if (record?.token === token) {
					record.outcome = change.value;
				}

				break;
			}

			case 'release': {
				if (record?.token === token) {
					this.#records.delete(digest);
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	/** Advances the horizon to the given time and deletes the records up to it; an earlier time than the current horizon has no effect. */
	expire(horizonMs: number): void {
		if (horizonMs <= this.#horizonMs) {
			return;
		}

		this.#horizonMs = horizonMs;
		for (const [digest, {atMs}] of this.#records) {
			if (atMs <= horizonMs) {
				this.#records.delete(digest);
			}
		}
	}
}
