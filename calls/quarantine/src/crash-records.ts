/** Deaths of backend servers as all instances told of them, and the requests that were in flight at each. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {addTo, dropOldest, removeFrom} from './bounded-maps.js';
import type {RequestFingerprint} from './fingerprint.js';

/** A backend server that went down with calls in flight, as one instance saw it. */
export interface ServerCrash {
	/** Instance that saw it, and its own number of the event. */
	readonly origin: InstanceId;
	readonly sequence: number;
	readonly server: BackendServerName;
	/** Wall-clock time at which the server had started, as it told, in milliseconds; undefined: it did not tell. */
	readonly startedAtMs?: number | undefined;
	/** Requests of that instance that were in flight there. */
	readonly fingerprints: readonly RequestFingerprint[];
	/** Monotonic time of this process, in milliseconds. */
	readonly atMs: number;
}

/** One death, joined from the reports of all instances that had requests in flight there. */
export interface KnownDeath {
	readonly server: BackendServerName;
	readonly startedAtMs: number | undefined;
	/** Number of its event by the instance that told it. */
	readonly reporters: ReadonlyMap<InstanceId, number>;
	/** Requests that were in flight and were not answered since. */
	readonly suspects: ReadonlySet<RequestFingerprint>;
	readonly atMs: number;
}

/** Time for which evidence counts, in milliseconds. */
export const RETENTION_MS = 600_000;
/** Reports of two instances on a server that does not tell its start concern one death within this time, in milliseconds. */
const SAME_DEATH_MS = 250;
const MOST_DEATHS = 1024;

interface OpenDeath extends KnownDeath {
	readonly reporters: Map<InstanceId, number>;
	readonly suspects: Set<RequestFingerprint>;
}

/** Bounded set of deaths; the oldest are forgotten first. */
export class DeathEvidence {
	readonly #deaths = new Set<OpenDeath>();
	readonly #byServer = new Map<BackendServerName, Set<OpenDeath>>();
	readonly #bySuspect = new Map<RequestFingerprint, Set<OpenDeath>>();

	/** Whether there are no suspects. */
	get isEmpty(): boolean {
		return this.#bySuspect.size === 0;
	}

	/** All deaths, oldest first. */
	get deaths(): ReadonlySet<KnownDeath> {
		return this.#deaths;
	}

	/** All suspects. */
	get suspects(): Iterable<RequestFingerprint> {
		return this.#bySuspect.keys();
	}

	/** Deaths at which a request was in flight. */
	deathsOf(fingerprint: RequestFingerprint): ReadonlySet<KnownDeath> {
		return this.#bySuspect.get(fingerprint) ?? noDeaths;
	}

	/** The death that a report concerns, if another instance told of it before; one instance tells of one death once. */
	findDeath({origin, server, startedAtMs, atMs}: ServerCrash): KnownDeath | undefined {
		const isSame = (known: KnownDeath): boolean => startedAtMs !== undefined && known.startedAtMs !== undefined
			? startedAtMs === known.startedAtMs
			: Math.abs(known.atMs - atMs) < SAME_DEATH_MS;
		return [...this.#byServer.get(server) ?? []].find(known => !known.reporters.has(origin) && isSame(known));
	}

	/** Adds a report to the death that it concerns. */
	add(report: ServerCrash): void {
		const death = (this.findDeath(report) ?? this.#open(report)) as OpenDeath;
		death.reporters.set(report.origin, report.sequence);
		for (const fingerprint of report.fingerprints) {
			death.suspects.add(fingerprint);
			addTo({map: this.#bySuspect, key: fingerprint, value: death});
		}
	}

	/** Takes a request out of all deaths. */
	clear(fingerprint: RequestFingerprint): void {
		for (const death of this.#bySuspect.get(fingerprint) ?? []) {
			death.suspects.delete(fingerprint);
			if (death.suspects.size === 0) {
				this.#forget(death);
			}
		}

		this.#bySuspect.delete(fingerprint);
	}

	/** Forgets what counts no more. */
	expire(nowMs: number): void {
		for (const death of this.#deaths) {
			if (nowMs - death.atMs >= RETENTION_MS) {
				this.#forget(death);
			}
		}
	}

	#open({server, startedAtMs, atMs}: ServerCrash): OpenDeath {
		const death: OpenDeath = {
			server, startedAtMs, reporters: new Map(), suspects: new Set(), atMs,
		};
		this.#deaths.add(death);
		addTo({map: this.#byServer, key: server, value: death});
		const [oldest] = this.#deaths;
		if (this.#deaths.size > MOST_DEATHS) {
			this.#forget(oldest!);
		}

		return death;
	}

	#forget(death: OpenDeath): void {
		this.#deaths.delete(death);
		removeFrom({map: this.#byServer, key: death.server, value: death});
		for (const fingerprint of death.suspects) {
			removeFrom({map: this.#bySuspect, key: fingerprint, value: death});
		}
	}
}

const noDeaths: ReadonlySet<KnownDeath> = new Set();
