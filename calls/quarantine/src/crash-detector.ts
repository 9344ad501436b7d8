/** Detects the crash of a backend server after a lost connection, and which calls were in flight at the server. */
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import type {ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';

/** Connections to a server that are lost within this time, in milliseconds, belong to the same crash. */
const SAME_CRASH_MS = 100;

/** A call that is being sent to a backend server or is in progress there. */
export interface InFlightCall {
	/** Whether the request is suspected of crashing servers. */
	readonly isSuspect: boolean;
	/** Whether a byte of the call may have reached the server. */
	readonly mayHaveRun: boolean;
	fingerprint(): RequestFingerprint;
}

/** The properties of a backend server that crash detection needs. */
export interface MonitoredServer {
	readonly name: BackendServerName;
	/** Wall-clock time at which the server says that it started, in milliseconds; undefined if it does not say. */
	readonly startedAtMs?: number | undefined;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions<Server extends MonitoredServer> {
	/** Checks whether a server that dropped a call has crashed. */
	readonly isGone: (server: Server) => Promise<boolean>;
	/** Records a crash and shares it with the other instances. */
	readonly reportCrash: (crash: Pick<ServerCrash, 'server' | 'startedAtMs' | 'fingerprints'>) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface ConnectionLoss {
	/** Monotonic time, in milliseconds. */
	readonly atMs: number;
	readonly hasCrashed: Promise<boolean>;
}

/** Tracks which calls are in flight at which server, and checks a server for a crash when it drops a call. */
export class CrashDetector<Server extends MonitoredServer = BackendServer> {
	readonly #options: CrashDetectorOptions<Server>;
	readonly #inFlight = new Map<BackendServerName, Set<InFlightCall>>();
	/** Last lost connection of each server. */
	readonly #losses = new Map<BackendServerName, ConnectionLoss>();

	constructor(options: CrashDetectorOptions<Server>) {
		this.#options = options;
	}

	/** Records that a call is being sent to a server. */
	trackCall({server, call}: {readonly server: BackendServerName; readonly call: InFlightCall}): void {
		const calls = this.#inFlight.get(server);
		if (calls) {
			calls.add(call);
		} else {
			this.#inFlight.set(server, new Set([call]));
		}
	}

	/** Records that an attempt of a call at a server has ended. */
	untrackCall({server, call}: {readonly server: BackendServerName; readonly call: InFlightCall}): void {
		this.#inFlight.get(server)?.delete(call);
	}

	/** Returns the servers at which suspects are in flight. */
	listServersWithSuspects(): readonly BackendServerName[] {
		return [...this.#inFlight].filter(([, calls]) => [...calls].some(({isSuspect}) => isSuspect)).map(([server]) => server);
	}

	/**
	 * Checks whether a server has crashed after a connection with a call in flight was lost. The call must still be
	 * tracked, so that it becomes a suspect. Lost connections shortly after each other share one check.
	 *
	 * @returns Whether the server crashed; resolves after the crash was reported.
	 */
	async checkForCrash(server: Server): Promise<boolean> {
		const last = this.#losses.get(server.name);
		if (last && this.#options.now() - last.atMs < SAME_CRASH_MS) {
			return last.hasCrashed;
		}

		const calls = [...this.#inFlight.get(server.name) ?? []].filter(({mayHaveRun}) => mayHaveRun);
		const hasCrashed = this.#checkAndReport({server, calls});
		this.#losses.set(server.name, {atMs: this.#options.now(), hasCrashed});
		return hasCrashed;
	}

	async #checkAndReport({server, calls}: {readonly server: Server; readonly calls: readonly InFlightCall[]}): Promise<boolean> {
		if (!await this.#options.isGone(server)) {
			return false;
		}

		const fingerprints = [...new Set(calls.map(call => call.fingerprint()))];
		await this.#options.reportCrash({server: server.name, startedAtMs: server.startedAtMs, fingerprints});
		return true;
	}
}
