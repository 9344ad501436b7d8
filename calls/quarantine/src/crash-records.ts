/** Crashes of backend servers reported by all instances, with the requests that were in flight at each crash. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {addToSet, removeFromSet} from './bounded-maps.js';
import type {RequestFingerprint} from './fingerprint.js';

/** Report by one instance that a backend server crashed with calls in flight. */
export interface ServerCrash {
	/** Instance that detected the crash, and the number that it gave to this report. */
	readonly origin: InstanceId;
	readonly sequence: number;
	readonly server: BackendServerName;
	/** Wall-clock time at which the server says that it started, in milliseconds; undefined if it does not say. */
	readonly startedAtMs?: number | undefined;
	/** Requests of that instance that were in flight at the server. */
	readonly fingerprints: readonly RequestFingerprint[];
	/** Time of the crash on the monotonic clock of this process, in milliseconds. */
	readonly atMs: number;
}

/** One crash, merged from the reports of all instances that had requests in flight at the server. */
export interface RecordedCrash {
	readonly server: BackendServerName;
	readonly startedAtMs: number | undefined;
	/** Sequence number of the report of each instance. */
	readonly reporters: ReadonlyMap<InstanceId, number>;
	/** Requests that were in flight at the crash and have not been answered since. */
	readonly suspects: ReadonlySet<RequestFingerprint>;
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
const MAX_CRASHES = 1024;

interface MutableCrash extends RecordedCrash {
	readonly reporters: Map<InstanceId, number>;
	readonly suspects: Set<RequestFingerprint>;
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

	/** Returns the crashes at which a request was in flight. */
	crashesOf(fingerprint: RequestFingerprint): ReadonlySet<RecordedCrash> {
		return this.#bySuspect.get(fingerprint) ?? noCrashes;
	}

	/**
	 * Returns the crash that a report concerns if other instances have already reported it. An instance reports each
	 * crash once, so a second report of the same instance is about another crash.
	 */
	findCrash({origin, server, startedAtMs, atMs}: ServerCrash): RecordedCrash | undefined {
		const isSame = (known: RecordedCrash): boolean => startedAtMs !== undefined && known.startedAtMs !== undefined
			? startedAtMs === known.startedAtMs
			: Math.abs(known.atMs - atMs) < SAME_CRASH_MS;
		return [...this.#byServer.get(server) ?? []].find(known => !known.reporters.has(origin) && isSame(known));
	}

	/** Merges a report into the crash that it concerns, or records a new crash. */
	add(report: ServerCrash): void {
		const crash = (this.findCrash(report) ?? this.#create(report)) as MutableCrash;
		crash.reporters.set(report.origin, report.sequence);
		for (const fingerprint of report.fingerprints) {
			crash.suspects.add(fingerprint);
			addToSet({map: this.#bySuspect, key: fingerprint, value: crash});
		}
	}

	/** Removes a request from the suspects of all crashes. Crashes without suspects are deleted. */
	clear(fingerprint: RequestFingerprint): void {
		for (const crash of this.#bySuspect.get(fingerprint) ?? []) {
			crash.suspects.delete(fingerprint);
			if (crash.suspects.size === 0) {
				this.#delete(crash);
			}
		}

		this.#bySuspect.delete(fingerprint);
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
			server, startedAtMs, reporters: new Map(), suspects: new Set(), atMs,
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
		for (const fingerprint of crash.suspects) {
			removeFromSet({map: this.#bySuspect, key: fingerprint, value: crash});
		}
	}
}

const noCrashes: ReadonlySet<RecordedCrash> = new Set();
