/**
 * Which requests are suspected of crashing backend servers, and which of them are not to run again.
 *
 * The table keeps evidence alone. What it makes of a request follows from all of it, in whatever order it was told, so
 * that all instances come to the same, and so that a request that was convicted is free again as soon as the evidence
 * says otherwise.
 */
import {dropExpired, dropOldest} from './bounded-maps.js';
import {DeathEvidence, RETENTION_MS} from './crash-records.js';
import type {KnownDeath, ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';
import {judgeSuspect, MOST_DEATHS_BEFORE_CONVICTION} from './classify-suspect.js';
import type {Finding} from './classify-suspect.js';

/** What is known of a request. */
export type SuspectStatus = 'clear' | 'suspect' | 'convicted';

/** A request that is not run. */
export interface QuarantinedRequest extends Finding {
	readonly fingerprint: RequestFingerprint;
}

/** Time for which a request is not run that only likely crashes servers, in milliseconds; its next run then tells. */
const LIKELY_HOLD_MS = 30_000;
/** Time after its answer in which a request is no suspect, in milliseconds: others may still tell of deaths from before. */
const CLEARED_MS = 5000;
const MOST_REPORTS = 4096;
const MOST_CONVICTIONS = 1024;
const MOST_CLEARED = 4096;

interface AtTime {
	readonly fingerprint: RequestFingerprint;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Bounded table of suspects. */
export class SuspectTable {
	readonly #evidence = new DeathEvidence();
	/** Reports that were taken, with the monotonic time of each, in milliseconds. */
	readonly #reports = new Map<string, number>();
	/** Convictions that other instances told of, whose evidence this one may not have, with the monotonic time of each. */
	readonly #told = new Map<RequestFingerprint, number>();
	/** Monotonic times at which suspects were answered, in milliseconds. */
	readonly #clearedAtMs = new Map<RequestFingerprint, number>();

	/** Whether nothing is suspected or convicted. */
	get isEmpty(): boolean {
		return this.#evidence.isEmpty && this.#told.size === 0;
	}

	/** What is known of a request. */
	statusOf({fingerprint, nowMs}: AtTime): SuspectStatus {
		if (this.isQuarantined({fingerprint, nowMs})) {
			return 'convicted';
		}

		return this.isSuspect(fingerprint) ? 'suspect' : 'clear';
	}

	/** Whether a request is refused. */
	isQuarantined({fingerprint, nowMs}: AtTime): boolean {
		const finding = this.#findingOn(fingerprint);
		return finding !== undefined && nowMs - finding.atMs < (finding.certainty === 'certain' ? RETENTION_MS : LIKELY_HOLD_MS);
	}

	/** Whether a request was in flight at a death that no surely crashing one explains, and was not answered since. */
	isSuspect(fingerprint: RequestFingerprint): boolean {
		return [...this.#evidence.deathsOf(fingerprint)].some(death => !this.#hasCertainBesides({death, fingerprint}));
	}

	/** Takes a report of a death; answers the requests that it convicts. */
	record({death, nowMs}: {readonly death: ServerCrash; readonly nowMs: number}): readonly QuarantinedRequest[] {
		this.#expire(nowMs);
		const report = `${death.origin}/${death.sequence}`;
		const fingerprints = death.fingerprints.filter(fingerprint => !this.#wasCleared({fingerprint, nowMs}));
		if (this.#reports.has(report) || fingerprints.length === 0) {
			return [];
		}

		this.#reports.set(report, nowMs);
		dropOldest({map: this.#reports, most: MOST_REPORTS});
		const suspects = [...this.#evidence.findDeath(death)?.suspects ?? [], ...fingerprints];
		const before = this.#filterConvicted({suspects, nowMs});
		this.#evidence.add({...death, fingerprints});
		return this.#listNew({suspects, before, nowMs});
	}

	/** Takes over a conviction of another instance. */
	recordQuarantined({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#told.set(fingerprint, atMs);
		dropOldest({map: this.#told, most: MOST_CONVICTIONS});
	}

	/** Clears a request that was answered: it crashes nothing. Answers the requests that this convicts. */
	clear({fingerprint, nowMs}: AtTime): readonly QuarantinedRequest[] {
		const suspects = [...this.#evidence.deathsOf(fingerprint)].flatMap(death => [...death.suspects]);
		const before = this.#filterConvicted({suspects, nowMs});
		this.#told.delete(fingerprint);
		this.#evidence.clear(fingerprint);
		this.#clearedAtMs.delete(fingerprint);
		this.#clearedAtMs.set(fingerprint, nowMs);
		dropOldest({map: this.#clearedAtMs, most: MOST_CLEARED});
		return this.#listNew({suspects, before, nowMs});
	}

	/** Deaths with their suspects. */
	listCrashes(): readonly ServerCrash[] {
		return [...this.#evidence.deaths].map(({reporters, server, startedAtMs, suspects, atMs}) => {
			const [origin, sequence] = [...reporters][0]!;
			return {
				origin, sequence, server, startedAtMs, fingerprints: [...suspects], atMs,
			};
		});
	}

	/** Convictions in force. */
	listQuarantined({nowMs}: Pick<AtTime, 'nowMs'>): readonly QuarantinedRequest[] {
		const fingerprints = new Set([...this.#told.keys(), ...this.#evidence.suspects]);
		return [...fingerprints]
			.filter(fingerprint => this.isQuarantined({fingerprint, nowMs}))
			.map(fingerprint => ({fingerprint, ...this.#findingOn(fingerprint)!}));
	}

	/** Those of some requests that are convicted. */
	#filterConvicted({suspects, nowMs}: {readonly suspects: readonly RequestFingerprint[]; readonly nowMs: number}): ReadonlySet<RequestFingerprint> {
		return new Set(suspects.filter(fingerprint => this.isQuarantined({fingerprint, nowMs})));
	}

	/** Convictions of requests that were not convicted before. */
	#listNew({suspects, before, nowMs}: {readonly suspects: readonly RequestFingerprint[]; readonly before: ReadonlySet<RequestFingerprint>; readonly nowMs: number}): readonly QuarantinedRequest[] {
		return [...this.#filterConvicted({suspects, nowMs})]
			.filter(fingerprint => !before.has(fingerprint))
			.map(fingerprint => ({fingerprint, ...this.#findingOn(fingerprint)!}));
	}

	#findingOn(fingerprint: RequestFingerprint): Finding | undefined {
		const toldAtMs = this.#told.get(fingerprint);
		return toldAtMs === undefined
			? judgeSuspect({fingerprint, deathsOf: suspect => this.#evidence.deathsOf(suspect)})
			: {certainty: 'certain', atMs: toldAtMs};
	}

	/** Whether a death has a suspect besides that surely crashes servers. */
	#hasCertainBesides({death, fingerprint}: {readonly death: KnownDeath; readonly fingerprint: RequestFingerprint}): boolean {
		return [...death.suspects].some(other => other !== fingerprint && this.#isCertain(other));
	}

	#isCertain(fingerprint: RequestFingerprint): boolean {
		const mayBe = this.#told.has(fingerprint) || this.#evidence.deathsOf(fingerprint).size >= MOST_DEATHS_BEFORE_CONVICTION;
		return mayBe && this.#findingOn(fingerprint)?.certainty === 'certain';
	}

	#wasCleared({fingerprint, nowMs}: AtTime): boolean {
		const atMs = this.#clearedAtMs.get(fingerprint);
		return atMs !== undefined && nowMs - atMs < CLEARED_MS;
	}

	#expire(nowMs: number): void {
		this.#evidence.expire(nowMs);
		dropExpired({map: this.#reports, afterMs: RETENTION_MS, nowMs});
		dropExpired({map: this.#told, afterMs: RETENTION_MS, nowMs});
		dropExpired({map: this.#clearedAtMs, afterMs: CLEARED_MS, nowMs});
	}
}
