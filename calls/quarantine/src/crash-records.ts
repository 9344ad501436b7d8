/** Crashes of backend servers reported by all instances, with the requests that were in flight at each crash. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {addToSet, removeFromSet} from './bounded-maps.js';
import type {RequestFingerprint} from './fingerprint.js';
import {mergeSpans} from './run-span.js';
import type {RunSpan} from './run-span.js';

/** What showed that a server ended. Only `unreachable` may be wrong: the network may be cut as well. */
export type CrashEvidence = 'connection-lost' | 'unreachable' | 'restarted' | 'removed';

/** Report by one instance that a backend server crashed with calls in flight. */
export interface ServerCrash {
	/** Instance that detected the crash, and the number that it gave to this report. */
	readonly origin: InstanceId;
	readonly sequence: number;
	readonly server: BackendServerName;
	/** Wall-clock time at which the server says that it started, in milliseconds; undefined if it does not say. */
	readonly startedAtMs?: number | undefined;
	/** Requests of that instance that may have been running at the server. */
	readonly fingerprints: readonly RequestFingerprint[];
	/** When each of them may have ended the server, in the same order; undefined: the instance does not say. */
	readonly spans?: readonly RunSpan[];
	/** What showed the end; undefined: the instance does not say, it was a lost connection. */
	readonly evidence?: CrashEvidence;
	/** Time of the crash on the monotonic clock of this process, in milliseconds. */
	readonly atMs: number;
}

/** One crash, merged from the reports of all instances that had requests in flight at the server. */
export interface RecordedCrash {
	readonly server: BackendServerName;
	readonly startedAtMs: number | undefined;
	/** Sequence number of the report of each instance. */
	readonly reporters: ReadonlyMap<InstanceId, number>;
	/** Requests that may have caused the crash, with the period in which each may have; undefined: it is unknown. */
	readonly suspects: ReadonlyMap<RequestFingerprint, RunSpan | undefined>;
	/** Whether the server is known to have ended. */
	readonly isConfirmed: boolean;
	/** Monotonic time of the crash, in milliseconds. */
	readonly atMs: number;
}

/** Time for which a crash is taken into account, in milliseconds. */
export const RETENTION_MS = 600_000;
/**
 * If the start time of the server is unknown, reports of different instances that are less than this time apart, in
 * milliseconds, are about the same crash.
 */
const SAME_CRASH_MS = 250;
/**
 * Time between the spans of two crashes, in milliseconds, from which the lost connections of two instances show two
 * crashes of a server, although both state the same start. It allows for clocks of instances that differ.
 */
const SEPARATE_CRASH_MS = 1000;
const MAX_CRASHES = 1024;

interface MutableCrash extends RecordedCrash {
	readonly reporters: Map<InstanceId, number>;
	readonly suspects: Map<RequestFingerprint, RunSpan | undefined>;
	isConfirmed: boolean;
}

/** Bounded set of crashes; the oldest are dropped first. */
export class CrashRecords {
	readonly #crashes = new Set<MutableCrash>();
	readonly #byServer = new Map<BackendServerName, Set<MutableCrash>>();
	readonly #bySuspect = new Map<RequestFingerprint, Set<MutableCrash>>();

	/** Whether there are no suspects. */
	get isEmpty(): boolean {
		return this.#bySuspect.size === 0;
	}

	/** All crashes, oldest first. */
	get crashes(): ReadonlySet<RecordedCrash> {
		return this.#crashes;
	}

	/** Requests that are suspects of at least one crash. */
	get suspects(): Iterable<RequestFingerprint> {
		return this.#bySuspect.keys();
	}

	/** Returns the crashes that a request may have caused. */
	crashesOf(fingerprint: RequestFingerprint): ReadonlySet<RecordedCrash> {
		return this.#bySuspect.get(fingerprint) ?? noCrashes;
	}

	/** Returns the crash that a report concerns if it is already recorded. */
	findCrash(report: ServerCrash): RecordedCrash | undefined {
		const {server, startedAtMs, atMs} = report;
		const isSame = (known: RecordedCrash): boolean => startedAtMs !== undefined && known.startedAtMs !== undefined
			? startedAtMs === known.startedAtMs
			: Math.abs(known.atMs - atMs) < SAME_CRASH_MS;
		return [...this.#byServer.get(server) ?? []].find(known => isSame(known) && !isAnotherCrash({report, known}));
	}

	/** Merges a report into the crash that it concerns, or records a new crash. */
	add(report: ServerCrash): void {
		const crash = (this.findCrash(report) ?? this.#create(report)) as MutableCrash;
		crash.reporters.set(report.origin, report.sequence);
		crash.isConfirmed ||= report.evidence !== 'unreachable';
		for (const [index, fingerprint] of report.fingerprints.entries()) {
			crash.suspects.set(fingerprint, mergeSpans(crash.suspects.get(fingerprint), report.spans?.[index]));
			addToSet({map: this.#bySuspect, key: fingerprint, value: crash});
		}
	}

	/** Returns the crash of a start of a server that is only suspected. */
	findUnconfirmed({server, startedAtMs}: Pick<ServerCrash, 'server' | 'startedAtMs'>): RecordedCrash | undefined {
		return [...this.#byServer.get(server) ?? []].find(crash => !crash.isConfirmed && crash.startedAtMs === startedAtMs);
	}

	/** Records that the server of a crash is known to have ended. */
	confirm(crash: RecordedCrash): void {
		(crash as MutableCrash).isConfirmed = true;
	}

	/** Deletes crashes that are older than the retention time. */
	expire(nowMs: number): void {
		for (const crash of this.#crashes) {
			if (nowMs - crash.atMs >= RETENTION_MS) {
				this.#delete(crash);
			}
		}
	}

	#create({server, startedAtMs, atMs}: ServerCrash): MutableCrash {
		const crash: MutableCrash = {
			server, startedAtMs, reporters: new Map(), suspects: new Map(), isConfirmed: false, atMs,
		};
		this.#crashes.add(crash);
		addToSet({map: this.#byServer, key: server, value: crash});
		const [oldest] = this.#crashes;
		if (this.#crashes.size > MAX_CRASHES) {
			this.#delete(oldest!);
		}

		return crash;
	}

	#delete(crash: MutableCrash): void {
		this.#crashes.delete(crash);
		removeFromSet({map: this.#byServer, key: crash.server, value: crash});
		for (const fingerprint of crash.suspects.keys()) {
			removeFromSet({map: this.#bySuspect, key: fingerprint, value: crash});
		}
	}
}

/**
 * Whether a report with the start of a recorded crash is about another crash: a connection was lost whose requests did
 * not run at the time of the recorded one. The start of a server may be that of the one before, as its entry in the store
 * is renewed late, and not at all while the store is unavailable. All other evidence is about the start that it states,
 * which ends once; and a server that is only unreachable may be one that is lost later.
 */
function isAnotherCrash({report, known}: {readonly report: ServerCrash; readonly known: RecordedCrash}): boolean {
	if ((report.evidence ?? 'connection-lost') !== 'connection-lost') {
		return false;
	}

	return known.reporters.has(report.origin) ? isLaterCrash({report, known}) : known.isConfirmed && isSeparateCrash({report, known});
}

/** Whether an instance that has reported a crash reports requests that it sent after it. */
function isLaterCrash({report: {spans}, known}: {readonly report: ServerCrash; readonly known: RecordedCrash}): boolean {
	const knownEndMs = Math.min(...[...known.suspects.values()].map(span => span?.toMs ?? Number.NEGATIVE_INFINITY));
	return spans === undefined || spans.every(({fromMs}) => fromMs >= knownEndMs);
}

/** Whether the requests of another instance ran long before or after those of a recorded crash, whichever was reported first. */
function isSeparateCrash({report: {spans = []}, known}: {readonly report: ServerCrash; readonly known: RecordedCrash}): boolean {
	const one = periodOf(spans);
	const other = periodOf([...known.suspects.values()]);
	return one !== undefined && other !== undefined
		&& (one.fromMs - other.toMs >= SEPARATE_CRASH_MS || other.fromMs - one.toMs >= SEPARATE_CRASH_MS);
}

/** Returns the period that includes all spans; undefined if there are none or one is unknown. */
function periodOf(spans: ReadonlyArray<RunSpan | undefined>): RunSpan | undefined {
	let period: RunSpan | undefined;
	for (const span of spans) {
		if (!span) {
			return undefined;
		}

		period = mergeSpans(period, span);
	}

	return period;
}

const noCrashes: ReadonlySet<RecordedCrash> = new Set();
