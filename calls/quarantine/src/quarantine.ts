/** Refuses requests that crash backend servers, together with the other instances. */
import type {CallCounters, EventRecord} from '@pomelopick/core.telemetry';
import type {InstanceId} from '@pomelopick/core.types';
import type {ServerCrash} from './crash-records.js';
import {showFingerprint} from './fingerprint.js';
import type {RequestFingerprint} from './fingerprint.js';
import {SuspectTable} from './suspect-table.js';
import type {QuarantinedRequest, SuspectStatus} from './suspect-table.js';

/** A death to tell of. */
export interface ShareCrashOptions {
	readonly death: ServerCrash;
	/** Requests that it convicts for sure. */
	readonly convicted: readonly RequestFingerprint[];
}

/** A suspect to clear. */
export interface ShareClearedOptions {
	readonly fingerprint: RequestFingerprint;
	/** Whether it is refused until the others hear of it. */
	readonly isUrgent: boolean;
}

/** Tells the other instances; resolves when all have heard or their time is up. */
export interface SuspicionSharing {
	readonly shareCrash: (options: ShareCrashOptions) => Promise<void>;
	readonly shareCleared: (options: ShareClearedOptions) => Promise<void>;
}

/** Options of {@link Quarantine}. */
export interface QuarantineOptions {
	readonly instance: InstanceId;
	/** Number before that of the first death; grows from one life of an instance to the next. */
	readonly firstSequence: number;
	readonly sharing: SuspicionSharing;
	readonly counters: CallCounters;
	readonly events: EventRecord;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Requests in flight at a death that its log line names. */
const MOST_SHOWN_REQUESTS = 16;

/** Keeps the table of suspects and shares each change of it. */
export class Quarantine {
	readonly #options: QuarantineOptions;
	readonly #table = new SuspectTable();
	#sequence: number;

	constructor(options: QuarantineOptions) {
		this.#options = options;
		this.#sequence = options.firstSequence;
	}

	/** Whether no request is suspected, so that none needs a fingerprint. */
	get isEmpty(): boolean {
		return this.#table.isEmpty;
	}

	/** The table, for instances that have just started. */
	get table(): SuspectTable {
		return this.#table;
	}

	/** Whether this life of the instance told of something; what an earlier life told has to be learnt again. */
	isOwn({origin, sequence}: Pick<ServerCrash, 'origin' | 'sequence'>): boolean {
		const {instance, firstSequence} = this.#options;
		return origin === instance && sequence > firstSequence;
	}

	/** What is known of a request. */
	statusOf(fingerprint: RequestFingerprint): SuspectStatus {
		return this.#table.statusOf({fingerprint, nowMs: this.#options.now()});
	}

	/** Records a death that this instance saw; resolves when the other instances know of it. */
	async reportCrash({server, startedAtMs, fingerprints}: Pick<ServerCrash, 'server' | 'startedAtMs' | 'fingerprints'>): Promise<void> {
		const {instance, now, sharing, counters} = this.#options;
		this.#sequence += 1;
		const death: ServerCrash = {
			origin: instance, sequence: this.#sequence, server, startedAtMs, fingerprints, atMs: now(),
		};
		counters.add('quarantine.death');
		const convicted = this.receiveCrash(death);
		await sharing.shareCrash({
			death,
			convicted: convicted.filter(({certainty}) => certainty === 'certain').map(({fingerprint}) => fingerprint),
		});
	}

	/** Records a death that any instance saw; answers the requests that it convicts. */
	receiveCrash(death: ServerCrash): readonly QuarantinedRequest[] {
		const {now, events} = this.#options;
		events.add({
			kind: 'quarantine', message: 'backend server died with calls in flight', fields: {
				server: death.server, suspects: death.fingerprints.length, fingerprints: death.fingerprints.slice(0, MOST_SHOWN_REQUESTS).map(fingerprint => showFingerprint(fingerprint)).join(','), seenBy: death.origin,
			},
		});
		const convicted = this.#table.record({death, nowMs: now()});
		this.#tell(convicted);
		return convicted;
	}

	/** Takes over a conviction that another instance made. */
	receiveQuarantined({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#table.recordQuarantined({fingerprint, atMs});
	}

	/** Clears a suspect that was run to its end here, and tells the others. */
	clear(fingerprint: RequestFingerprint): void {
		const standing = this.statusOf(fingerprint);
		if (standing !== 'clear') {
			this.receiveCleared(fingerprint);
			void this.#options.sharing.shareCleared({fingerprint, isUrgent: standing === 'convicted'});
		}
	}

	/** Clears a suspect that was run to its end at any instance. */
	receiveCleared(fingerprint: RequestFingerprint): void {
		const {counters, events, now} = this.#options;
		counters.add('quarantine.cleared');
		if (this.statusOf(fingerprint) !== 'clear') {
			events.add({kind: 'quarantine', message: 'suspect cleared, it was answered', fields: {fingerprint: showFingerprint(fingerprint)}});
		}

		this.#tell(this.#table.clear({fingerprint, nowMs: now()}));
	}

	#tell(convictions: readonly QuarantinedRequest[]): void {
		const {counters, events} = this.#options;
		for (const {fingerprint, certainty} of convictions) {
			counters.add('quarantine.conviction');
			events.add({kind: 'quarantine', message: 'request convicted', fields: {fingerprint: showFingerprint(fingerprint), certainty}});
		}
	}
}
