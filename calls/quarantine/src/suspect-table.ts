/** Which requests were in flight when backend servers died, and which of them are convicted. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import type {RequestFingerprint} from './fingerprint.js';

/** A backend server that went down with calls in flight. */
export interface ServerDeath {
	/** Instance that saw it, and its own number of the event. */
	readonly origin: InstanceId;
	readonly sequence: number;
	readonly server: BackendServerName;
	/** Requests that were in flight there. */
	readonly fingerprints: readonly RequestFingerprint[];
	/** Monotonic time of this process, in milliseconds. */
	readonly atMs: number;
}

/** Weight of a death that the request shares with others that were in flight. */
const SHARED_DEATH_POINTS = 2;
/** Weight of a death for the one request that was in flight. */
const LONE_DEATH_POINTS = 3;
/** Points at which a request is convicted: three deaths, or two lone ones. */
const CONVICTION_POINTS = 6;
/** Most servers that one request takes down before its conviction, one after another. */
export const MOST_DEATHS_BEFORE_CONVICTION = Math.ceil(CONVICTION_POINTS / SHARED_DEATH_POINTS);

/** Reports of two instances on the same server within this time concern one death. */
const SAME_DEATH_MS = 250;
/** Suspicions and convictions are forgotten after this time without a new one. */
const RETENTION_MS = 600_000;
const MOST_DEATHS = 1024;
const MOST_CONVICTIONS = 1024;

interface KnownDeath {
	readonly id: string;
	readonly reporters: Set<InstanceId>;
	readonly server: BackendServerName;
	readonly fingerprints: Set<RequestFingerprint>;
	readonly atMs: number;
	readonly sequence: number;
}

/** Bounded table of deaths, suspects and convictions. */
export class SuspectTable {
	readonly #deaths = new Map<string, KnownDeath>();
	readonly #convictions = new Map<RequestFingerprint, number>();

	/** Whether nothing is suspected or convicted. */
	get isEmpty(): boolean {
		return this.#deaths.size === 0 && this.#convictions.size === 0;
	}

	/** Whether a request is refused. */
	isConvicted({fingerprint, nowMs}: {readonly fingerprint: RequestFingerprint; readonly nowMs: number}): boolean {
		const atMs = this.#convictions.get(fingerprint);
		return atMs !== undefined && nowMs - atMs < RETENTION_MS;
	}

	/** Whether a request was in flight at a death and has not been cleared. */
	isSuspect(fingerprint: RequestFingerprint): boolean {
		return this.#pointsOf(fingerprint) > 0;
	}

	/** Records a death; answers the requests that it convicts. */
	record({death, nowMs}: {readonly death: ServerDeath; readonly nowMs: number}): readonly RequestFingerprint[] {
		this.#expire(nowMs);
		const id = `${death.origin}/${death.sequence}`;
		if (this.#deaths.has(id)) {
			return [];
		}

		const known = this.#findSame(death) ?? {
			id, reporters: new Set<InstanceId>(), server: death.server, fingerprints: new Set<RequestFingerprint>(), atMs: death.atMs, sequence: death.sequence,
		};
		known.reporters.add(death.origin);
		for (const fingerprint of death.fingerprints) {
			known.fingerprints.add(fingerprint);
		}

		this.#deaths.set(known.id, known);
		dropOldest({map: this.#deaths, most: MOST_DEATHS});
		return this.#convict({suspects: death.fingerprints, nowMs});
	}

	/** Records a conviction that a peer made. */
	recordConviction({fingerprint, atMs}: {readonly fingerprint: RequestFingerprint; readonly atMs: number}): void {
		this.#convictions.set(fingerprint, atMs);
		this.#clearNeighbours(fingerprint);
		dropOldest({map: this.#convictions, most: MOST_CONVICTIONS});
	}

	/** Forgets what a request is suspected of. A conviction stays. */
	clear(fingerprint: RequestFingerprint): void {
		for (const [id, death] of this.#deaths) {
			death.fingerprints.delete(fingerprint);
			if (death.fingerprints.size === 0) {
				this.#deaths.delete(id);
			}
		}
	}

	/** Deaths with suspects that are not cleared. */
	listDeaths(): readonly ServerDeath[] {
		return [...this.#deaths.values()].map(({reporters, sequence, server, fingerprints, atMs}) => ({
			origin: [...reporters][0]!, sequence, server, fingerprints: [...fingerprints], atMs,
		}));
	}

	/** Convictions in force, and when each was made. */
	listConvictions(): ReadonlyArray<{readonly fingerprint: RequestFingerprint; readonly atMs: number}> {
		return [...this.#convictions].map(([fingerprint, atMs]) => ({fingerprint, atMs}));
	}

	#convict({suspects, nowMs}: {readonly suspects: readonly RequestFingerprint[]; readonly nowMs: number}): readonly RequestFingerprint[] {
		const worst = suspects
			.filter(fingerprint => this.#pointsOf(fingerprint) >= CONVICTION_POINTS)
			.sort((left, right) => this.#pointsOf(right) - this.#pointsOf(left));
		const convicted: RequestFingerprint[] = [];
		for (const fingerprint of worst) {
			// A conviction before this one may have accounted for the same deaths.
			if (this.#pointsOf(fingerprint) >= CONVICTION_POINTS) {
				this.recordConviction({fingerprint, atMs: nowMs});
				convicted.push(fingerprint);
			}
		}

		return convicted;
	}

	/** The deaths of a convicted request no longer count against those that shared them. */
	#clearNeighbours(convicted: RequestFingerprint): void {
		for (const [id, {fingerprints}] of this.#deaths) {
			if (fingerprints.has(convicted)) {
				this.#deaths.delete(id);
			}
		}
	}

	#pointsOf(fingerprint: RequestFingerprint): number {
		let points = 0;
		for (const {fingerprints} of this.#deaths.values()) {
			if (fingerprints.has(fingerprint)) {
				points += fingerprints.size === 1 ? LONE_DEATH_POINTS : SHARED_DEATH_POINTS;
			}
		}

		return points;
	}

	#findSame({origin, server, atMs}: ServerDeath): KnownDeath | undefined {
		for (const death of this.#deaths.values()) {
			if (death.server === server && !death.reporters.has(origin) && Math.abs(death.atMs - atMs) < SAME_DEATH_MS) {
				return death;
			}
		}

		return undefined;
	}

	#expire(nowMs: number): void {
		for (const [id, {atMs}] of this.#deaths) {
			if (nowMs - atMs >= RETENTION_MS) {
				this.#deaths.delete(id);
			}
		}

		for (const [fingerprint, atMs] of this.#convictions) {
			if (nowMs - atMs >= RETENTION_MS) {
				this.#convictions.delete(fingerprint);
			}
		}
	}
}

function dropOldest<Key>({map, most}: {readonly map: Map<Key, unknown>; readonly most: number}): void {
	for (const key of map.keys()) {
		if (map.size <= most) {
			return;
		}

		map.delete(key);
	}
}
