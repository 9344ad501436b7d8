/** Exact counts of the slots in use at the backend servers of one service in one region. */
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import type {DrawInteger} from './power-of-two.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {listOutliers, mayHaveOutliers} from './outliers.js';
import type {
	TrackedServer, SlotLease, ReleaseOptions, TryTakeOptions,
} from './slot-tracker-types.js';

/** Time after which a slot whose attempt ended without an answer is free; the server may still be busy with it. */
const UNCERTAIN_RELEASE_DELAY_MS = 30;
/** Age from which a slot that its holder no longer names comes back, in milliseconds. */
const UNLISTED_RELEASE_AGE_MS = 1000;
/** Time for which an ended slot is remembered, in milliseconds. */
const RELEASED_RETENTION_MS = 5000;
/** Time between trial calls to a server that is far slower than the others, in milliseconds. */
const OUTLIER_PROBE_INTERVAL_MS = 500;

interface SlotEntry extends SlotLease {
	readonly asker: InstanceId;
	readonly takenAtMs: number;
	readonly hasEnded: boolean;
}

interface ServerState {
	readonly server: TrackedServer;
	readonly limit: ConcurrencyLimit;
	inUse: number;
	/** The server itself said that it leaves. */
	isLeaving: boolean;
	lastTakenAtMs: number;
}

const noServers: ReadonlySet<BackendServerName> = new Set();

function isUsable({server, isLeaving: saysLeaving}: ServerState): boolean {
	return !server.isDrained && !saysLeaving;
}

/** Options of {@link SlotTracker}. */
export interface SlotTrackerOptions {
	readonly draw: DrawInteger;
}

/** Counts slots. Never gives a server more calls than its proven limit. */
export class SlotTracker {
	readonly #draw: DrawInteger;
	readonly #servers = new Map<BackendServerName, ServerState>();
	readonly #entries = new Map<string, SlotEntry>();
	/** Slots that ended and when, so that a renewal sent before the end does not count them again. */
	readonly #releasedAtMs = new Map<string, number>();
	#outliers: ReadonlySet<BackendServerName> = new Set();

	constructor({draw}: SlotTrackerOptions) {
		this.#draw = draw;
	}

	/** Slots in use. */
	get inUse(): number {
		return this.#entries.size;
	}

	/** Calls that the servers that may get calls now have proven they can run at once. */
	provenSlots(nowMs: number): number {
		return this.#listUsable().filter(({limit}) => !limit.isPaused(nowMs)).reduce((sum, {limit}) => sum + limit.proven, 0);
	}

	/** Mean time for which a slot is held, in milliseconds; undefined before the first answer. */
	get holdMs(): number | undefined {
		const known = this.#listUsable().flatMap(({limit, server}) => limit.holdMs === undefined || this.#outliers.has(server.name) ? [] : [limit.holdMs]);
		return known.length === 0 ? undefined : known.reduce((sum, value) => sum + value, 0) / known.length;
	}

	/** Takes a changed list of servers; counts of servers that stay are kept. */
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

	/** Notes whether a server says of itself that it leaves. */
	recordLeaving({server, isLeaving}: {readonly server: BackendServerName; readonly isLeaving: boolean}): void {
		const state = this.#servers.get(server);
		if (state) {
			state.isLeaving = isLeaving;
		}
	}

	/** Calls that a server has proven it can run at once; 0 when it is not in the book. */
	provenAt(server: BackendServerName): number {
		return this.#servers.get(server)?.limit.proven ?? 0;
	}

	/** Whether a server said that it leaves. */
	isLeaving(server: BackendServerName): boolean {
		return this.#servers.get(server)?.isLeaving ?? false;
	}

	/** Takes a slot of the server with most room; undefined when none has any. */
	tryTake({slotId, asker, avoidServers, avoidDomains, expiresAtMs, nowMs, limitShare}: TryTakeOptions): BackendServerName | undefined {
		const open: ServerState[] = [];
		const elsewhere: ServerState[] = [];
		for (const state of this.#servers.values()) {
			const {server, limit} = state;
			if (isUsable(state) && !avoidServers.has(server.name) && !limit.isPaused(nowMs)) {
				open.push(state);
				if (!avoidDomains.has(server.failureDomain)) {
					elsewhere.push(state);
				}
			}
		}

		const chosen = this.#chooseServer({states: elsewhere.length > 0 ? elsewhere : open, nowMs, limitShare});
		if (!chosen) {
			return undefined;
		}

		chosen.lastTakenAtMs = nowMs;
		this.#add({
			slotId, asker, server: chosen.server.name, expiresAtMs, takenAtMs: nowMs, hasEnded: false,
		});
		return chosen.server.name;
	}

	/** Gives a slot back and learns from how it ended. Unknown slots are ignored. */
	release({slotId, end, nowMs, mayBeNamedLater = true}: ReleaseOptions): void {
		const entry = this.#entries.get(slotId);
		if (mayBeNamedLater) {
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

	/** Takes an asker's word on the slots that it holds: unknown ones are counted, old ones that it does not name come back. */
	renew({asker, held, nowMs}: {readonly asker: InstanceId; readonly held: readonly SlotLease[]; readonly nowMs: number}): void {
		const named = new Set(held.map(({slotId}) => slotId));
		for (const entry of this.#entries.values()) {
			if (entry.asker === asker && !named.has(entry.slotId) && nowMs - entry.takenAtMs > UNLISTED_RELEASE_AGE_MS) {
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

	/** Gives back the slots whose time is over. */
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

	/** Calls in flight at a server, as counted here. */
	inUseAt(server: BackendServerName): number {
		return this.#servers.get(server)?.inUse ?? 0;
	}

	/** Servers that do not leave. */
	#listUsable(): ServerState[] {
		return [...this.#servers.values()].filter(state => isUsable(state));
	}

	#findOutliers(): ReadonlySet<BackendServerName> {
		let leastMs = Number.POSITIVE_INFINITY;
		let mostMs = 0;
		for (const {limit: {holdMs}} of this.#servers.values()) {
			if (holdMs !== undefined) {
				leastMs = Math.min(leastMs, holdMs);
				mostMs = Math.max(mostMs, holdMs);
			}
		}

		return mayHaveOutliers({leastMs, mostMs})
			? listOutliers([...this.#servers.values()].map(({server, limit}) => ({name: server.name, holdMs: limit.holdMs})))
			: noServers;
	}

	#chooseServer({states, nowMs, limitShare}: {readonly states: readonly ServerState[]; readonly nowMs: number; readonly limitShare: number}): ServerState | undefined {
		let best: ServerState[] = [];
		let least = Number.POSITIVE_INFINITY;
		for (const state of states) {
			const {server, limit, inUse} = state;
			if (inUse >= Math.max(1, Math.floor(limit.proven * limitShare))) {
				continue;
			}

			const fill = inUse / limit.proven;
			if (this.#outliers.has(server.name)) {
				if (inUse === 0 && nowMs - state.lastTakenAtMs >= OUTLIER_PROBE_INTERVAL_MS) {
					return state;
				}
			} else if (fill < least) {
				best = [state];
				least = fill;
			} else if (fill === least) {
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
