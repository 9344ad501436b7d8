/** Reports ends of backend servers, however they become known, with the requests that may have caused them. */
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import type {CrashEvidence, ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';
import {mergeSpans} from './run-span.js';
import type {RunSpan} from './run-span.js';
import {ServerRuns} from './server-runs.js';
import type {InFlightCall, ServerRun, SuspectedRun} from './server-runs.js';

/** Connections to a server that are lost within this time, in milliseconds, belong to the same crash. */
const SAME_CRASH_MS = 100;

/** The properties of a backend server that crash detection needs. */
export interface MonitoredServer {
	readonly name: BackendServerName;
	/** Wall-clock time at which the server says that it started, in milliseconds; undefined if it does not say. */
	readonly startedAtMs?: number | undefined;
}

/** What this instance reports of the end of a server. */
export type CrashReport = Pick<ServerCrash, 'server' | 'startedAtMs' | 'fingerprints'> & Required<Pick<ServerCrash, 'spans' | 'evidence'>>;

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions<Server extends MonitoredServer> {
	/** Checks whether a server has crashed. */
	readonly isGone: (server: Server) => Promise<boolean>;
	/** Records a crash and shares it with the other instances. */
	readonly reportCrash: (crash: CrashReport) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time less monotonic time, in milliseconds; the same for as long as the process runs. */
	readonly clockOffsetMs: number;
}

/** Options of {@link CrashDetector.reportEnd}. */
export interface ReportEndOptions<Server extends MonitoredServer> {
	readonly server: Server;
	readonly evidence: CrashEvidence;
	/** Monotonic time by which the server had ended, in milliseconds. */
	readonly endedByMs: number;
}

interface ConnectionLoss {
	/** Monotonic time, in milliseconds. */
	readonly atMs: number;
	readonly hasCrashed: Promise<boolean>;
}

/** Tracks the runs of calls at servers, and reports those that may have ended a server. */
export class CrashDetector<Server extends MonitoredServer = BackendServer> {
	readonly #options: CrashDetectorOptions<Server>;
	readonly #runs = new ServerRuns();
	/** Last lost connection of each server. */
	readonly #losses = new Map<BackendServerName, ConnectionLoss>();

	constructor(options: CrashDetectorOptions<Server>) {
		this.#options = options;
	}

	/** Records that a call is being sent to a server. */
	begin({server, call}: {readonly server: BackendServerName; readonly call: InFlightCall}): ServerRun {
		return this.#runs.begin({server, call, nowMs: this.#options.now()});
	}

	/** Records that the server has answered a run completely, or has not run the request. */
	resolve(run: ServerRun): void {
		this.#runs.resolve(run);
	}

	/** Records that the attempt of a run has ended without an answer. The server may work on. */
	end(run: ServerRun): void {
		this.#runs.end({run, nowMs: this.#options.now()});
	}

	/** Records a response of a server on a connection that was opened at a monotonic time, in milliseconds. */
	recordResponse({server, openedAtMs}: {readonly server: BackendServerName; readonly openedAtMs: number}): void {
		this.#runs.recordResponse({server, openedAtMs, nowMs: this.#options.now()});
	}

	/** Returns the servers at which suspects are in flight. */
	listServersWithSuspects(): readonly BackendServerName[] {
		return this.#runs.listServersWithSuspects();
	}

	/**
	 * Checks whether a server has crashed after a connection with a call in flight was lost. Lost connections shortly
	 * after each other share one check.
	 *
	 * @returns Whether the server crashed; resolves after the crash was reported.
	 */
	async checkForCrash(server: Server): Promise<boolean> {
		const nowMs = this.#options.now();
		const last = this.#losses.get(server.name);
		if (last && nowMs - last.atMs < SAME_CRASH_MS) {
			return last.hasCrashed;
		}

		const hasCrashed = this.reportIfGone({server, evidence: 'connection-lost', endedByMs: nowMs});
		this.#losses.set(server.name, {atMs: nowMs, hasCrashed});
		return hasCrashed;
	}

	/** Reports the end of a server if it has crashed; returns whether it has. Nothing is checked if no run may have ended it. */
	async reportIfGone(options: ReportEndOptions<Server>): Promise<boolean> {
		if (!this.#runs.has(options.server.name) || !await this.#options.isGone(options.server)) {
			return false;
		}

		await this.reportEnd(options);
		return true;
	}

	/** Reports the end of a server with the runs that may have caused it and were not reported yet; without any, nothing is reported. */
	async reportEnd({server: {name, startedAtMs}, evidence, endedByMs}: ReportEndOptions<Server>): Promise<void> {
		const {now, clockOffsetMs, reportCrash} = this.#options;
		const runs = this.#runs.take({server: name, endedByMs, nowMs: now()});
		if (runs.length === 0) {
			return;
		}

		const spans = mergeRuns({runs, endedByMs, clockOffsetMs});
		await reportCrash({
			server: name, startedAtMs, evidence, fingerprints: [...spans.keys()], spans: [...spans.values()],
		});
	}
}

interface MergeRunsOptions {
	readonly runs: readonly SuspectedRun[];
	/** Monotonic time by which the server had ended, in milliseconds. */
	readonly endedByMs: number;
	readonly clockOffsetMs: number;
}

/** Returns the span of each request, over all its runs. */
function mergeRuns({runs, endedByMs, clockOffsetMs}: MergeRunsOptions): ReadonlyMap<RequestFingerprint, RunSpan> {
	const spans = new Map<RequestFingerprint, RunSpan>();
	for (const {fingerprint, beganAtMs, overAtMs = endedByMs} of runs) {
		const span = {fromMs: beganAtMs + clockOffsetMs, toMs: Math.min(overAtMs, endedByMs) + clockOffsetMs};
		spans.set(fingerprint, mergeSpans(spans.get(fingerprint), span)!);
	}

	return spans;
}
