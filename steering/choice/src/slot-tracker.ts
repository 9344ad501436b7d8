/** Counts the slots in use at the backend servers of one service in one region. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import type {DrawInteger} from './power-of-two.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {listOutliers, mayHaveOutliers} from './outliers.js';
import type {
	TrackedServer, SlotLease, ReleaseOptions, TryTakeOptions,
} from './slot-tracker-types.js';

/** Time after which a slot is released whose attempt ended without an answer, in milliseconds: the server may still be working on the call. */
const UNCERTAIN_RELEASE_DELAY_MS = 30;
/** Minimum age at which a slot is released that its instance no longer lists in a renewal, in milliseconds. */
const UNLISTED_RELEASE_AGE_MS = 1000;
/** Time for which the id of a released slot is kept, in milliseconds. */
const RELEASED_RETENTION_MS = 5000;
/** Minimum time between calls that probe an outlier, in milliseconds. */
const OUTLIER_PROBE_INTERVAL_MS = 500;

interface SlotEntry extends SlotLease {
	readonly asker: InstanceId;
	readonly takenAtMs: number;
	/** Whether the attempt has ended and the slot is released a little later, as the server may still be working on the call. */
	readonly hasEnded: boolean;
}

interface ServerState {
	readonly server: TrackedServer;
	readonly limit: ConcurrencyLimit;
	inUse: number;
	/** Whether the server reported that it is leaving. */
	isLeaving: boolean;
	/** Monotonic time at which a slot of the server was last taken, in milliseconds. */
	lastTakenAtMs: number;
}

const noServers: ReadonlySet<BackendServerName> = new Set();

function isUsable({server, isLeaving}: ServerState): boolean {
	return !server.isDrained && !isLeaving;
}

/** Options of {@link SlotTracker}. */
export interface SlotTrackerOptions {
	readonly draw: DrawInteger;
}

/** Assigns and counts slots. Never assigns a server more calls than its concurrency limit. */
export class SlotTracker {
	readonly #draw: DrawInteger;
	readonly #servers = new Map<BackendServerName, ServerState>();
	readonly #entries = new Map<string, SlotEntry>();
	/** Times at which slots were released, so that a renewal that was sent before does not count them again. */
	readonly #releasedAtMs = new Map<string, number>();
	#outliers: ReadonlySet<BackendServerName> = new Set();

	constructor({draw}: SlotTrackerOptions) {
		this.#draw = draw;
	}

	/** Slots in use. */
	get inUse(): number {
		return this.#entries.size;
	}

	/** Sum of the concurrency limits of the servers that may get calls now. */
	provenSlots(nowMs: number): number {
		return this.#listUsable().filter(({limit}) => !limit.isPaused(nowMs)).reduce((sum, {limit}) => sum + limit.proven, 0);
	}

	/** Mean time for which a slot is held, without the outliers, in milliseconds; undefined before the first answer. */
	get holdMs(): number | undefined {
		const known = this.#listUsable().flatMap(({limit, server}) => limit.holdMs === undefined || this.#outliers.has(server.name) ? [] : [limit.holdMs]);
		return known.length === 0 ? undefined : known.reduce((sum, value) => sum + value, 0) / known.length;
	}

	/** Applies a changed list of servers; keeps the counts and limits of the servers that are still listed. */
	useServers(servers: readonly TrackedServer[]): void {
		const names = new Set(servers.map(({name}) => name));
		for (const name of this.#servers.keys()) {
			if (!names.has(name)) {
				this.#servers.delete(name);
			}
		}

		for (const server of servers) {
			const known = this.#servers.get(server.name);
			known?.limit.useSlots(server.slots);
			this.#servers.set(server.name, known
				? {...known, server}
				: {
					server, limit: new ConcurrencyLimit(server), inUse: this.#countEntries(server.name), isLeaving: false, lastTakenAtMs: Number.NEGATIVE_INFINITY,
				});
		}
	}

	/** Records whether a server reports that it is leaving. */
	recordLeaving({server, isLeaving}: {readonly server: BackendServerName; readonly isLeaving: boolean}): void {
		const state = this.#servers.get(server);
		if (state) {
			state.isLeaving = isLeaving;
		}
	}

	/** Concurrency limit of a server; 0 when the server is not tracked. */
	provenSlotsAt(server: BackendServerName): number {
		return this.#servers.get(server)?.limit.proven ?? 0;
	}

	/** Whether a server reported that it is leaving. */
	isLeaving(server: BackendServerName): boolean {
		return this.#servers.get(server)?.isLeaving ?? false;
	}

	/** Takes a slot of the server with the lowest utilisation; undefined when no server has a free slot. */
	tryTake({slotId, asker, avoidServers, avoidDomains, expiresAtMs, nowMs, limitShare}: TryTakeOptions): BackendServerName | undefined {
		const available: ServerState[] = [];
		const preferred: ServerState[] = [];
		for (const state of this.#servers.values()) {
			const {server, limit} = state;
			if (isUsable(state) && !avoidServers.has(server.name) && !limit.isPaused(nowMs)) {
				available.push(state);
				if (!avoidDomains.has(server.failureDomain)) {
					preferred.push(state);
				}
			}
		}

		const chosen = this.#chooseServer({states: preferred.length > 0 ? preferred : available, nowMs, limitShare});
		if (!chosen) {
			return undefined;
		}

		chosen.lastTakenAtMs = nowMs;
		this.#add({
			slotId, asker, server: chosen.server.name, expiresAtMs, takenAtMs: nowMs, hasEnded: false,
		});
		return chosen.server.name;
	}

	/** Releases a slot and updates the server's limit from how the attempt ended. Unknown slots are ignored. */
	release({slotId, end, nowMs, mayBeRenewedLater = true}: ReleaseOptions): void {
		const entry = this.#entries.get(slotId);
		if (mayBeRenewedLater) {
			this.#releasedAtMs.set(slotId, nowMs);
		}

		if (!entry || entry.hasEnded) {
			return;
		}

		const state = this.#servers.get(entry.server);
		state?.limit.recordEnd({end, heldMs: nowMs - entry.takenAtMs, nowMs});
		if (end === 'leaving') {
			this.recordLeaving({server: entry.server, isLeaving: true});
		}

		this.#outliers = this.#findOutliers();
		const isCertain = end === 'answered' || end === 'shed' || end === 'leaving' || end === 'connect-failed';
		if (isCertain) {
			this.#remove(entry);
		} else {
			this.#entries.set(slotId, {...entry, hasEnded: true, expiresAtMs: Math.min(entry.expiresAtMs, nowMs + UNCERTAIN_RELEASE_DELAY_MS)});
		}
	}

	/** Applies the list of slots that an instance holds: counts the unknown ones, and releases older ones that are not listed. */
	renew({asker, held, nowMs}: {readonly asker: InstanceId; readonly held: readonly SlotLease[]; readonly nowMs: number}): void {
		const listedIds = new Set(held.map(({slotId}) => slotId));
		for (const entry of this.#entries.values()) {
			if (entry.asker === asker && !listedIds.has(entry.slotId) && nowMs - entry.takenAtMs > UNLISTED_RELEASE_AGE_MS) {
				this.#remove(entry);
			}
		}

		for (const slot of held) {
			if (!this.#entries.has(slot.slotId) && !this.#releasedAtMs.has(slot.slotId)) {
				this.#add({
					...slot, asker, takenAtMs: nowMs, hasEnded: false,
				});
			}
		}
	}

	/** Releases the slots that have expired. */
	expire(nowMs: number): void {
		for (const [slotId, endedAtMs] of this.#releasedAtMs) {
			if (nowMs - endedAtMs < RELEASED_RETENTION_MS) {
				break;
			}

			this.#releasedAtMs.delete(slotId);
		}

		for (const entry of this.#entries.values()) {
			if (nowMs >= entry.expiresAtMs) {
				this.#remove(entry);
			}
		}
	}

	/** Number of slots in use at a server. */
	inUseAt(server: BackendServerName): number {
		return this.#servers.get(server)?.inUse ?? 0;
	}

	/** Servers that are neither drained nor leaving. */
	#listUsable(): ServerState[] {
		return [...this.#servers.values()].filter(state => isUsable(state));
	}

	/** Names of the outliers; skips the search when the range of hold times rules them out. */
	#findOutliers(): ReadonlySet<BackendServerName> {
		let minMs = Number.POSITIVE_INFINITY;
		let maxMs = 0;
		for (const {limit: {holdMs}} of this.#servers.values()) {
			if (holdMs !== undefined) {
				minMs = Math.min(minMs, holdMs);
				maxMs = Math.max(maxMs, holdMs);
			}
		}

		return mayHaveOutliers({minMs, maxMs})
			? listOutliers([...this.#servers.values()].map(({server, limit}) => ({name: server.name, holdMs: limit.holdMs})))
			: noServers;
	}

	/** Chooses a random one of the least utilised servers, or an outlier that is due for a probe. */
	#chooseServer({states, nowMs, limitShare}: {readonly states: readonly ServerState[]; readonly nowMs: number; readonly limitShare: number}): ServerState | undefined {
		let best: ServerState[] = [];
		let lowest = Number.POSITIVE_INFINITY;
		for (const state of states) {
			const {server, limit, inUse} = state;
			if (inUse >= Math.max(1, Math.floor(limit.proven * limitShare))) {
				continue;
			}

			const utilisation = inUse / limit.proven;
			if (this.#outliers.has(server.name)) {
				if (inUse === 0 && nowMs - state.lastTakenAtMs >= OUTLIER_PROBE_INTERVAL_MS) {
					return state;
				}
			} else if (utilisation < lowest) {
				best = [state];
				lowest = utilisation;
			} else if (utilisation === lowest) {
				best.push(state);
			}
		}

		return best.length === 0 ? undefined : best[this.#draw(best.length)];
	}

	#countEntries(server: BackendServerName): number {
		return [...this.#entries.values()].filter(entry => entry.server === server).length;
	}

	#add(entry: SlotEntry): void {
		this.#entries.set(entry.slotId, entry);
		const state = this.#servers.get(entry.server);
		if (state) {
			state.inUse += 1;
		}
	}

	#remove({slotId, server}: SlotEntry): void {
		this.#entries.delete(slotId);
		const state = this.#servers.get(server);
		if (state) {
			state.inUse -= 1;
		}
	}
}
