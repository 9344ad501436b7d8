/**
 * Table of the requests that are suspected of crashing backend servers, and of those that are quarantined.
 *
 * The table stores only reports of crashes. The status of a request is computed from all of them, whatever the order in
 * which they arrived. So all instances reach the same decision, and a request leaves quarantine as soon as the reports
 * no longer support it.
 */
import {dropExpired, dropOldest} from './bounded-maps.js';
import {classifySuspect, MAX_CRASHES_BEFORE_QUARANTINE} from './classify-suspect.js';
import type {Classification} from './classify-suspect.js';
import {CrashRecords, RETENTION_MS} from './crash-records.js';
import type {RecordedCrash, ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';

/** Status of a request. `convicted` means quarantined: the request is refused. */
export type SuspectStatus = 'clear' | 'suspect' | 'convicted';

/** A request that is refused because it crashes servers. */
export interface QuarantinedRequest extends Classification {
	readonly fingerprint: RequestFingerprint;
}

/**
 * Time for which a request that is only likely to crash servers is quarantined, in milliseconds. Afterwards it may run
 * again, and is then either answered or crashes another server.
 */
const LIKELY_QUARANTINE_MS = 30_000;
/**
 * Time for which a request that was answered cannot become a suspect, in milliseconds: other instances may still report
 * crashes from before the answer.
 */
const CLEARED_MS = 5000;
const MAX_REPORTS = 4096;
const MAX_PEER_QUARANTINES = 1024;
const MAX_CLEARED = 4096;

interface SuspectQuery {
	readonly fingerprint: RequestFingerprint;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Bounded table of suspects. */
export class SuspectTable {
	readonly #crashes = new CrashRecords();
	/** Reports that were recorded, as `origin/sequence`, with the monotonic time of each, in milliseconds. */
	readonly #reports = new Map<string, number>();
	/**
	 * Requests that other instances reported as quarantined, with the monotonic time of each decision, in milliseconds.
	 * This instance may not have received the crash reports on which the decisions are based.
	 */
	readonly #quarantinedByPeersAtMs = new Map<RequestFingerprint, number>();
	/** Monotonic times at which suspects were answered, in milliseconds. */
	readonly #clearedAtMs = new Map<RequestFingerprint, number>();

	/** Whether no request is suspected or quarantined. */
	get isEmpty(): boolean {
		return this.#crashes.isEmpty && this.#quarantinedByPeersAtMs.size === 0;
	}

	/** Returns the status of a request. */
	statusOf({fingerprint, nowMs}: SuspectQuery): SuspectStatus {
		if (this.isQuarantined({fingerprint, nowMs})) {
			return 'convicted';
		}

		return this.isSuspect(fingerprint) ? 'suspect' : 'clear';
	}

	/** Whether a request is quarantined. */
	isQuarantined({fingerprint, nowMs}: SuspectQuery): boolean {
		const classification = this.#classify(fingerprint);
		return classification !== undefined && nowMs - classification.atMs < (classification.certainty === 'certain' ? RETENTION_MS : LIKELY_QUARANTINE_MS);
	}

	/** Whether a request was in flight at a crash, was not answered since, and no other request is certain to have caused the crash. */
	isSuspect(fingerprint: RequestFingerprint): boolean {
		return [...this.#crashes.crashesOf(fingerprint)].some(crash => !this.#isExplainedByAnother({crash, fingerprint}));
	}

	/** Records a report of a crash. Returns the requests that are quarantined as a result. */
	record({crash, nowMs}: {readonly crash: ServerCrash; readonly nowMs: number}): readonly QuarantinedRequest[] {
		this.#expire(nowMs);
		const report = `${crash.origin}/${crash.sequence}`;
		const fingerprints = crash.fingerprints.filter(fingerprint => !this.#wasCleared({fingerprint, nowMs}));
		if (this.#reports.has(report) || fingerprints.length === 0) {
			return [];
		}

		this.#reports.set(report, nowMs);
		dropOldest({map: this.#reports, maxSize: MAX_REPORTS});
		const suspects = [...this.#crashes.findCrash(crash)?.suspects ?? [], ...fingerprints];
		const before = this.#filterQuarantined({suspects, nowMs});
		this.#crashes.add({...crash, fingerprints});
		return this.#listNewlyQuarantined({suspects, before, nowMs});
	}

	/** Records that another instance quarantined a request. */
	recordQuarantined({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#quarantinedByPeersAtMs.set(fingerprint, atMs);
		dropOldest({map: this.#quarantinedByPeersAtMs, maxSize: MAX_PEER_QUARANTINES});
	}

	/** Clears a request that was answered, and so crashes no server. Returns the requests that are quarantined as a result. */
	clear({fingerprint, nowMs}: SuspectQuery): readonly QuarantinedRequest[] {
		const suspects = [...this.#crashes.crashesOf(fingerprint)].flatMap(crash => [...crash.suspects]);
		const before = this.#filterQuarantined({suspects, nowMs});
		this.#quarantinedByPeersAtMs.delete(fingerprint);
		this.#crashes.clear(fingerprint);
		this.#clearedAtMs.delete(fingerprint);
		this.#clearedAtMs.set(fingerprint, nowMs);
		dropOldest({map: this.#clearedAtMs, maxSize: MAX_CLEARED});
		return this.#listNewlyQuarantined({suspects, before, nowMs});
	}

	/** Lists the recorded crashes with their suspects. Each is given under one of the reports that it was merged from. */
	listCrashes(): readonly ServerCrash[] {
		return [...this.#crashes.crashes].map(({reporters, server, startedAtMs, suspects, atMs}) => {
			const [origin, sequence] = [...reporters][0]!;
			return {
				origin, sequence, server, startedAtMs, fingerprints: [...suspects], atMs,
			};
		});
	}

	/** Lists the requests that are quarantined now. */
	listQuarantined({nowMs}: Pick<SuspectQuery, 'nowMs'>): readonly QuarantinedRequest[] {
		const fingerprints = new Set([...this.#quarantinedByPeersAtMs.keys(), ...this.#crashes.suspects]);
		return [...fingerprints]
			.filter(fingerprint => this.isQuarantined({fingerprint, nowMs}))
			.map(fingerprint => ({fingerprint, ...this.#classify(fingerprint)!}));
	}

	/** Returns those of the given requests that are quarantined. */
	#filterQuarantined({suspects, nowMs}: {readonly suspects: readonly RequestFingerprint[]; readonly nowMs: number}): ReadonlySet<RequestFingerprint> {
		return new Set(suspects.filter(fingerprint => this.isQuarantined({fingerprint, nowMs})));
	}

	/** Returns those of the given requests that are quarantined now and were not `before`. */
	#listNewlyQuarantined({suspects, before, nowMs}: {
		readonly suspects: readonly RequestFingerprint[];
		readonly before: ReadonlySet<RequestFingerprint>;
		readonly nowMs: number;
	}): readonly QuarantinedRequest[] {
		return [...this.#filterQuarantined({suspects, nowMs})]
			.filter(fingerprint => !before.has(fingerprint))
			.map(fingerprint => ({fingerprint, ...this.#classify(fingerprint)!}));
	}

	/** Classifies a request; a decision that another instance reported takes precedence. */
	#classify(fingerprint: RequestFingerprint): Classification | undefined {
		const quarantinedAtMs = this.#quarantinedByPeersAtMs.get(fingerprint);
		return quarantinedAtMs === undefined
			? classifySuspect({fingerprint, crashesOf: suspect => this.#crashes.crashesOf(suspect)})
			: {certainty: 'certain', atMs: quarantinedAtMs};
	}

	/** Whether a crash has another suspect that is certain to crash servers. */
	#isExplainedByAnother({crash, fingerprint}: {readonly crash: RecordedCrash; readonly fingerprint: RequestFingerprint}): boolean {
		return [...crash.suspects].some(other => other !== fingerprint && this.#isCertain(other));
	}

	#isCertain(fingerprint: RequestFingerprint): boolean {
		const mayBe = this.#quarantinedByPeersAtMs.has(fingerprint) || this.#crashes.crashesOf(fingerprint).size >= MAX_CRASHES_BEFORE_QUARANTINE;
		return mayBe && this.#classify(fingerprint)?.certainty === 'certain';
	}

	#wasCleared({fingerprint, nowMs}: SuspectQuery): boolean {
		const atMs = this.#clearedAtMs.get(fingerprint);
		return atMs !== undefined && nowMs - atMs < CLEARED_MS;
	}

	#expire(nowMs: number): void {
		this.#crashes.expire(nowMs);
		dropExpired({map: this.#reports, afterMs: RETENTION_MS, nowMs});
		dropExpired({map: this.#quarantinedByPeersAtMs, afterMs: RETENTION_MS, nowMs});
		dropExpired({map: this.#clearedAtMs, afterMs: CLEARED_MS, nowMs});
	}
}
