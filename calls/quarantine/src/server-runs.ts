/**
 * Tracks which runs of requests may have ended which backend server.
 *
 * A run is not over when its attempt is: the caller, the deadline or a hedge may end the attempt while the server works
 * on. A run that was not answered is kept until its server is known to have survived it, or for a bounded time.
 */
import type {BackendServerName} from '@pomelopick/core.types';
import {addToSet, removeFromSet} from './bounded-maps.js';
import type {RequestFingerprint} from './fingerprint.js';

/** Time after the end of an attempt within which a server stops working on its request, in milliseconds. */
export const CANCELLATION_MS = 1000;
/** Time after the end of an attempt for which its run is kept, in milliseconds; the restart of a server may become known that late. */
const RETENTION_MS = 15_000;
/** Maximum number of runs that are kept after their attempts; the oldest are dropped first. */
const MAX_ENDED_RUNS = 4096;

/** A call that is being sent to a backend server or is in progress there. */
export interface InFlightCall {
	/** Whether the request is suspected of crashing servers. */
	readonly isSuspect: boolean;
	/** Whether a byte of the call may have reached the server. */
	readonly mayHaveRun: boolean;
	fingerprint(): RequestFingerprint;
}

/** One run of a request at a server. */
export interface ServerRun {
	readonly server: BackendServerName;
	/** Monotonic time at which its attempt began, in milliseconds. */
	readonly beganAtMs: number;
}

interface MutableRun extends ServerRun {
	/** Undefined once the attempt has ended, so that the request's body can be released. */
	call: InFlightCall | undefined;
	fingerprint: RequestFingerprint | undefined;
	/** Monotonic time at which its attempt ended, in milliseconds; undefined while it is in progress. */
	endedAtMs: number | undefined;
	/** Whether it was reported with the end of its server. */
	isReported: boolean;
}

/** A run that may have ended its server. */
export interface SuspectedRun {
	readonly fingerprint: RequestFingerprint;
	/** Monotonic time at which its attempt began, in milliseconds. */
	readonly beganAtMs: number;
	/** Monotonic time by which it could no longer end its server, in milliseconds; undefined while it is in progress. */
	readonly overAtMs: number | undefined;
}

/** The runs of all servers. */
export class ServerRuns {
	readonly #runs = new Map<BackendServerName, Set<MutableRun>>();
	/** Runs whose attempts have ended, in this order. */
	readonly #ended = new Set<MutableRun>();

	/** Records that a call is being sent to a server. */
	begin({server, call, nowMs}: {readonly server: BackendServerName; readonly call: InFlightCall; readonly nowMs: number}): ServerRun {
		const run: MutableRun = {
			server, beganAtMs: nowMs, call, fingerprint: undefined, endedAtMs: undefined, isReported: false,
		};
		addToSet({map: this.#runs, key: server, value: run});
		return run;
	}

	/** Records that the server has answered the run, or has not run the request: the run ended no server. */
	resolve(run: ServerRun): void {
		removeFromSet({map: this.#runs, key: run.server, value: run as MutableRun});
		this.#ended.delete(run as MutableRun);
	}

	/** Records that the attempt of a run ended without an answer. Does nothing for a run that was resolved or has ended before. */
	end({run, nowMs}: {readonly run: ServerRun; readonly nowMs: number}): void {
		const ended = run as MutableRun;
		if (ended.endedAtMs !== undefined || !this.#runs.get(run.server)?.has(ended)) {
			return;
		}

		if (ended.call?.mayHaveRun !== true || ended.isReported) {
			this.resolve(run);
			return;
		}

		ended.fingerprint = ended.call.fingerprint();
		ended.call = undefined;
		ended.endedAtMs = nowMs;
		this.#ended.add(ended);
		this.#dropOld(nowMs);
	}

	/** Records a response of a server on a connection: it has not restarted since the connection was opened, so it survived the runs that are over. */
	recordResponse({server, openedAtMs, nowMs}: {readonly server: BackendServerName; readonly openedAtMs: number; readonly nowMs: number}): void {
		for (const run of this.#runs.get(server) ?? []) {
			if (run.endedAtMs !== undefined && run.beganAtMs >= openedAtMs && nowMs - run.endedAtMs >= CANCELLATION_MS) {
				this.resolve(run);
			}
		}
	}

	/** Returns the runs that may have ended a server by a monotonic time, in milliseconds. Each run is returned once. */
	take({server, endedByMs, nowMs}: {readonly server: BackendServerName; readonly endedByMs: number; readonly nowMs: number}): readonly SuspectedRun[] {
		this.#dropOld(nowMs);
		const runs = [...this.#runs.get(server) ?? []].filter(run => !run.isReported && run.beganAtMs <= endedByMs && (run.call?.mayHaveRun ?? true));
		return runs.map(run => {
			const {beganAtMs, endedAtMs} = run;
			const fingerprint = run.fingerprint ?? run.call!.fingerprint();
			run.isReported = true;
			if (endedAtMs !== undefined) {
				this.resolve(run);
			}

			return {fingerprint, beganAtMs, overAtMs: endedAtMs === undefined ? undefined : endedAtMs + CANCELLATION_MS};
		});
	}

	/** Whether any run may have ended a server. */
	has(server: BackendServerName): boolean {
		return [...this.#runs.get(server) ?? []].some(run => !run.isReported && (run.call?.mayHaveRun ?? true));
	}

	/** Returns the servers at which suspects are in flight. */
	listServersWithSuspects(): readonly BackendServerName[] {
		return [...this.#runs].filter(([, runs]) => [...runs].some(({call}) => call?.isSuspect === true)).map(([server]) => server);
	}

	#dropOld(nowMs: number): void {
		for (const run of this.#ended) {
			if (nowMs - run.endedAtMs! < RETENTION_MS && this.#ended.size <= MAX_ENDED_RUNS) {
				return;
			}

			this.resolve(run);
		}
	}
}
