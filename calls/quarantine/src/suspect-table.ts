/**
 * Table of the requests that are suspected of crashing backend servers, and of those that are quarantined.
 *
 * The table stores only reports of crashes and of answers. The status of a request is computed from all of them, whatever
 * the order in which they arrived. So all instances reach the same decision, and a request leaves quarantine as soon as
 * the reports no longer support it.
 */
import {dropExpired, dropOldest} from './bounded-maps.js';
import {classifySuspect, isExplainedByAnother, MAX_ANSWERS_PER_CRASH} from './classify-suspect.js';
import type {Classification, CrashEvidenceView} from './classify-suspect.js';
import {CrashRecords, RETENTION_MS} from './crash-records.js';
import type {ServerCrash} from './crash-records.js';
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
const MAX_REPORTS = 4096;
const MAX_PEER_QUARANTINES = 1024;
const MAX_ANSWERED = 4096;

/** Answers that a request got from servers. */
interface Answers {
	readonly count: number;
	/** Monotonic time of the last one, in milliseconds. */
	readonly lastAtMs: number;
}

const noAnswers: Answers = {count: 0, lastAtMs: Number.NEGATIVE_INFINITY};

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
	/** Answers to suspects. */
	readonly #answers = new Map<RequestFingerprint, Answers>();
	readonly #view: CrashEvidenceView = {
		crashes: this.#crashes.crashes,
		crashesOf: fingerprint => this.#crashes.crashesOf(fingerprint),
		answersTo: fingerprint => this.#answers.get(fingerprint)?.count ?? 0,
	};

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

	/** Whether a request may have caused a crash that no stronger suspect explains, and was not answered since or too seldom. */
	isSuspect(fingerprint: RequestFingerprint): boolean {
		const {count, lastAtMs} = this.#answers.get(fingerprint) ?? noAnswers;
		const crashes = [...this.#crashes.crashesOf(fingerprint)];
		const isAnsweredOften = count > crashes.length * MAX_ANSWERS_PER_CRASH;
		return crashes.some(crash => !(isAnsweredOften && crash.atMs <= lastAtMs) && !isExplainedByAnother({crash, fingerprint, view: this.#view}));
	}

	/** Number of crashes that a request may have caused. */
	countCrashes(fingerprint: RequestFingerprint): number {
		return this.#crashes.crashesOf(fingerprint).size;
	}

	/** Records a report of a crash. Returns the requests that are quarantined as a result. */
	record({crash, nowMs}: {readonly crash: ServerCrash; readonly nowMs: number}): readonly QuarantinedRequest[] {
		this.#expire(nowMs);
		if (crash.fingerprints.length === 0 || !this.#isNewReport({report: `${crash.origin}/${crash.sequence}`, nowMs})) {
			return [];
		}

		const suspects = [...this.#crashes.findCrash(crash)?.suspects.keys() ?? [], ...crash.fingerprints];
		const before = this.#filterQuarantined({suspects, nowMs});
		this.#crashes.add(crash);
		return this.#listNewlyQuarantined({suspects, before, nowMs});
	}

	/** Records that a start of a server has ended. Returns the requests that are quarantined as a result. */
	confirm({server, startedAtMs, nowMs}: Pick<ServerCrash, 'server' | 'startedAtMs'> & {readonly nowMs: number}): readonly QuarantinedRequest[] {
		const crash = this.#crashes.findUnconfirmed({server, startedAtMs});
		if (!crash) {
			return [];
		}

		const suspects = [...crash.suspects.keys()];
		const before = this.#filterQuarantined({suspects, nowMs});
		this.#crashes.confirm(crash);
		return this.#listNewlyQuarantined({suspects, before, nowMs});
	}

	/** Records that another instance quarantined a request. */
	recordQuarantined({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#quarantinedByPeersAtMs.set(fingerprint, atMs);
		dropOldest({map: this.#quarantinedByPeersAtMs, maxSize: MAX_PEER_QUARANTINES});
	}

	/**
	 * Records an answer of a server to a suspect: this run ended no server. Returns the requests that are quarantined as a
	 * result. Other instances count their reports of answers; the same report is recorded once.
	 */
	recordAnswer({fingerprint, report, nowMs}: SuspectQuery & {readonly report?: string}): readonly QuarantinedRequest[] {
		if (!this.#isReported(fingerprint) || (report !== undefined && !this.#isNewReport({report, nowMs}))) {
			return [];
		}

		const suspects = [...this.#crashes.crashesOf(fingerprint)].flatMap(crash => [...crash.suspects.keys()]);
		const before = this.#filterQuarantined({suspects, nowMs});
		const count = (this.#answers.get(fingerprint)?.count ?? 0) + 1;
		this.#quarantinedByPeersAtMs.delete(fingerprint);
		this.#answers.delete(fingerprint);
		this.#answers.set(fingerprint, {count, lastAtMs: nowMs});
		dropOldest({map: this.#answers, maxSize: MAX_ANSWERED});
		return this.#listNewlyQuarantined({suspects, before, nowMs});
	}

	/** Lists the recorded crashes with their suspects. Each is given under one of the reports that it was merged from. */
	listCrashes(): readonly ServerCrash[] {
		return [...this.#crashes.crashes].map(({reporters, server, startedAtMs, suspects, isConfirmed, atMs}) => {
			const [origin, sequence] = [...reporters][0]!;
			return {
				origin, sequence, server, startedAtMs, fingerprints: [...suspects.keys()], atMs, ...(!isConfirmed && {evidence: 'unreachable'}),
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
			? classifySuspect({fingerprint, view: this.#view})
			: {certainty: 'certain', atMs: quarantinedAtMs};
	}

	/** Whether any instance reported a request, with a crash or as quarantined. */
	#isReported(fingerprint: RequestFingerprint): boolean {
		return this.#crashes.crashesOf(fingerprint).size > 0 || this.#quarantinedByPeersAtMs.has(fingerprint);
	}

	/** Whether a report is recorded for the first time. */
	#isNewReport({report, nowMs}: {readonly report: string; readonly nowMs: number}): boolean {
		if (this.#reports.has(report)) {
			return false;
		}

		this.#reports.set(report, nowMs);
		dropOldest({map: this.#reports, maxSize: MAX_REPORTS});
		return true;
	}

	#expire(nowMs: number): void {
		this.#crashes.expire(nowMs);
		dropExpired({map: this.#reports, afterMs: RETENTION_MS, nowMs});
		dropExpired({map: this.#quarantinedByPeersAtMs, afterMs: RETENTION_MS, nowMs});
		for (const fingerprint of this.#answers.keys()) {
			if (!this.#isReported(fingerprint)) {
				this.#answers.delete(fingerprint);
			}
		}
	}
}
