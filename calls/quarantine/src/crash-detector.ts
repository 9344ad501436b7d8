/** Tells the death of a backend server from the loss of one connection, and who was in flight there. */
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import type {ServerCrash} from './crash-records.js';
import type {RequestFingerprint} from './fingerprint.js';

/** Losses at a server within this time belong to one death. */
const SAME_DEATH_MS = 100;

/** A call that is in flight at a backend server, or on its way there. */
export interface InFlightCall {
	readonly isSuspect: boolean;
	/** Whether a byte of the call may have reached the server. */
	readonly mayHaveRun: boolean;
	fingerprint(): RequestFingerprint;
}

/** A backend server as far as its death is concerned. */
export interface WatchedServer {
	readonly name: BackendServerName;
	/** Wall-clock time at which it started, in milliseconds; undefined: it does not tell. */
	readonly startedAtMs?: number | undefined;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions<Server extends WatchedServer> {
	/** Whether a server that dropped a call has gone down. */
	readonly isGone: (server: Server) => Promise<boolean>;
	readonly reportCrash: (death: Pick<ServerCrash, 'server' | 'startedAtMs' | 'fingerprints'>) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface Loss {
	readonly atMs: number;
	readonly judged: Promise<boolean>;
}

/** Keeps which calls are in flight at which server. */
export class CrashDetector<Server extends WatchedServer = BackendServer> {
	readonly #options: CrashDetectorOptions<Server>;
	readonly #inFlight = new Map<BackendServerName, Set<InFlightCall>>();
	readonly #losses = new Map<BackendServerName, Loss>();

	constructor(options: CrashDetectorOptions<Server>) {
		this.#options = options;
	}

	/** Notes that a call is sent to a server. */
	trackCall({server, call}: {readonly server: BackendServerName; readonly call: InFlightCall}): void {
		const calls = this.#inFlight.get(server);
		if (calls) {
			calls.add(call);
		} else {
			this.#inFlight.set(server, new Set([call]));
		}
	}

	/** Notes that a call's attempt at a server has ended. */
	untrackCall({server, call}: {readonly server: BackendServerName; readonly call: InFlightCall}): void {
		this.#inFlight.get(server)?.delete(call);
	}

	/** Servers at which suspects are in flight. */
	listServersWithSuspects(): readonly BackendServerName[] {
		return [...this.#inFlight].filter(([, calls]) => [...calls].some(({isSuspect}) => isSuspect)).map(([server]) => server);
	}

	/**
	 * Judges the loss of a connection with a call in flight. The call must not have left yet.
	 *
	 * @returns Whether the server died; resolves after the other instances were told.
	 */
	async checkForCrash(server: Server): Promise<boolean> {
		const last = this.#losses.get(server.name);
		if (last && this.#options.now() - last.atMs < SAME_DEATH_MS) {
			return last.judged;
		}

		const calls = [...this.#inFlight.get(server.name) ?? []].filter(({mayHaveRun}) => mayHaveRun);
		const judged = this.#judge({server, calls});
		this.#losses.set(server.name, {atMs: this.#options.now(), judged});
		return judged;
	}

	async #judge({server, calls}: {readonly server: Server; readonly calls: readonly InFlightCall[]}): Promise<boolean> {
		if (!await this.#options.isGone(server)) {
			return false;
		}

		const fingerprints = [...new Set(calls.map(call => call.fingerprint()))];
		await this.#options.reportCrash({server: server.name, startedAtMs: server.startedAtMs, fingerprints});
		return true;
	}
}
