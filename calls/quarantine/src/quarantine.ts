/** Quarantines requests that crash backend servers, together with the other instances. */
import type {CallCounters, EventRecord} from '@pomelopick/core.telemetry';
import type {InstanceId} from '@pomelopick/core.types';
import type {CrashReport} from './crash-detector.js';
import type {ServerCrash} from './crash-records.js';
import {shortenFingerprint} from './fingerprint.js';
import type {RequestFingerprint} from './fingerprint.js';
import {SuspectTable} from './suspect-table.js';
import type {QuarantinedRequest, SuspectStatus} from './suspect-table.js';

/** A crash to share with the other instances. */
export interface ShareCrashOptions {
	readonly crash: ServerCrash;
	/** Requests that are certain to crash servers, quarantined because of this crash. */
	readonly quarantined: readonly RequestFingerprint[];
}

/** An answer of a backend server to a suspect, to share with the other instances. */
export interface ShareAnswerOptions {
	readonly fingerprint: RequestFingerprint;
	/** Whether the request was quarantined, so that the other instances refuse it until they receive this. */
	readonly isUrgent: boolean;
}

/** Shares changes with the other instances. Each call resolves when all instances have been notified, or after a bounded time. */
export interface SuspicionSharing {
	readonly shareCrash: (options: ShareCrashOptions) => Promise<void>;
	readonly shareAnswer: (options: ShareAnswerOptions) => Promise<void>;
}

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
	readonly instance: InstanceId;
	/** Sequence number before that of the first report. Must increase from each run of the instance to the next. */
	readonly firstSequence: number;
	readonly sharing: SuspicionSharing;
	readonly counters: CallCounters;
	readonly events: EventRecord;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Maximum number of fingerprints in the event of a crash. */
const MAX_LOGGED_REQUESTS = 16;

/** Maintains the table of suspects, and shares crashes and answers to suspects with the other instances. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #table = new SuspectTable();
	#sequence: number;

	constructor(options: QuarantineOptions) {
		this.#options = options;
		this.#sequence = options.firstSequence;
	}

	/** Whether no request is suspected or quarantined, so that fingerprints need not be computed. */
	get isEmpty(): boolean {
		return this.#table.isEmpty;
	}

	/** The table of suspects; instances that have just started copy it, and operators list it. */
	get table(): SuspectTable {
		return this.#table;
	}

	/** Whether a report comes from this run of the instance. Reports from earlier runs must be received again after a restart. */
	isFromThisRun({origin, sequence}: Pick<ServerCrash, 'origin' | 'sequence'>): boolean {
		const {instance, firstSequence} = this.#options;
		return origin === instance && sequence > firstSequence;
	}

	/** Returns the status of a request. */
	statusOf(fingerprint: RequestFingerprint): SuspectStatus {
		return this.#table.statusOf({fingerprint, nowMs: this.#options.now()});
	}

	/** Records a crash that this instance detected and shares it; resolves as described at {@link SuspicionSharing}. */
	async reportCrash(report: CrashReport): Promise<void> {
		const {instance, now, sharing, counters} = this.#options;
		this.#sequence += 1;
		const crash: ServerCrash = {
			...this.#sortSuspects(report), origin: instance, sequence: this.#sequence, atMs: now(),
		};
		counters.add('quarantine.death');
		counters.add(`quarantine.by-${report.evidence}`);
		const quarantined = this.receiveCrash(crash);
		await sharing.shareCrash({
			crash,
			quarantined: quarantined.filter(({certainty}) => certainty === 'certain').map(({fingerprint}) => fingerprint),
		});
	}

	/** Records a crash that any instance reported. Returns the requests that are quarantined as a result. */
	receiveCrash(crash: ServerCrash): readonly QuarantinedRequest[] {
		const {now, events} = this.#options;
		events.add({
			kind: 'quarantine', message: 'backend server crashed with calls in flight', fields: {
				server: crash.server,
				suspects: crash.fingerprints.length,
				fingerprints: crash.fingerprints.slice(0, MAX_LOGGED_REQUESTS).map(fingerprint => shortenFingerprint(fingerprint)).join(','),
				seenBy: crash.origin,
				evidence: crash.evidence ?? 'connection-lost',
			},
		});
		const quarantined = this.#table.record({crash, nowMs: now()});
		this.#logQuarantined(quarantined);
		return quarantined;
	}

	/** Records that another instance quarantined a request. */
	receiveQuarantined({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#table.recordQuarantined({fingerprint, atMs});
	}

	/** Records that a start of a server has ended, which may confirm a crash that was only suspected. */
	confirmEnd({server, startedAtMs}: Pick<ServerCrash, 'server' | 'startedAtMs'>): void {
		this.#logQuarantined(this.#table.confirm({server, startedAtMs, nowMs: this.#options.now()}));
	}

	/** Records that a backend server answered a request at this instance, and notifies the other instances if it was a suspect. */
	recordAnswer(fingerprint: RequestFingerprint): void {
		const status = this.statusOf(fingerprint);
		this.receiveAnswer({fingerprint});
		if (status !== 'clear') {
			void this.#options.sharing.shareAnswer({fingerprint, isUrgent: status === 'convicted'});
		}
	}

	/** Records that a backend server answered a request at any instance. `report` identifies the report of another instance, so that it is recorded once. */
	receiveAnswer({fingerprint, report}: {readonly fingerprint: RequestFingerprint; readonly report?: string}): void {
		const {counters, events, now} = this.#options;
		const status = this.statusOf(fingerprint);
		this.#logQuarantined(this.#table.recordAnswer({fingerprint, report, nowMs: now()}));
		const statusAfter = this.statusOf(fingerprint);
		if (statusAfter !== status) {
			counters.add('quarantine.cleared');
			events.add({kind: 'quarantine', message: 'a backend server answered a suspect', fields: {fingerprint: shortenFingerprint(fingerprint), status: statusAfter}});
		}
	}

	/** Sorts the requests of a report so that those which may have caused most crashes come first, as only so many are shared. */
	#sortSuspects({fingerprints, spans, ...report}: CrashReport): CrashReport {
		const entries = fingerprints.map((fingerprint, index) => ({fingerprint, span: spans[index]!, crashes: this.#table.countCrashes(fingerprint)}));
		const sorted = entries.sort((one, other) => other.crashes - one.crashes);
		return {...report, fingerprints: sorted.map(({fingerprint}) => fingerprint), spans: sorted.map(({span}) => span)};
	}

	/** Counts and logs newly quarantined requests. The counter and the event say `conviction` and `convicted` for quarantined. */
	#logQuarantined(requests: readonly QuarantinedRequest[]): void {
		const {counters, events} = this.#options;
		for (const {fingerprint, certainty} of requests) {
			counters.add('quarantine.conviction');
			events.add({kind: 'quarantine', message: 'request convicted', fields: {fingerprint: shortenFingerprint(fingerprint), certainty}});
		}
	}
}
