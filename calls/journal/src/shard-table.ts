/** Records of one shard, built by applying the entries of its log in order. */
import type {JournalEntry, JournalKey, KeptOutcome} from '@pomelopick/peer.protocol';

/** Time after its deadline for which a call is still treated as in flight, in milliseconds. */
const IN_FLIGHT_MARGIN_MS = 1000;

/** Record of one key. */
export interface JournalRecord {
	readonly fingerprint: string;
	readonly token: string;
	/** Time of the record, in milliseconds since the epoch; the record expires when the horizon reaches it. */
	readonly atMs: number;
	/** Monotonic time until which the call may be running, in milliseconds. */
	readonly inFlightUntilMs: number;
	outcome: KeptOutcome | undefined;
}

/** Result of checking a copy against the records. */
export type CopyCheckResult =
	| {readonly kind: 'absent'}
	| {readonly kind: 'granted'}
	| {readonly kind: 'conflict'}
	| {readonly kind: 'in-flight'}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'expired'}
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
			return record.outcome.status === 1 ? {kind: 'unknown'} : {kind: 'replay', outcome: record.outcome};
		}

		// The copy that wrote the intent repeats its request because it got no response, so it has not been dispatched.
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

	/** Deletes the records of the given time and earlier; a time before the current horizon has no effect. */
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
