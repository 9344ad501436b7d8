/** Chooses the instance to which a request is forwarded when this one cannot reach the backend servers. */
import type {
	Endpoint, InstanceId, RegionName, Route,
} from '@pomelopick/core.types';

/** Time for which an instance is not chosen after it could not help, in milliseconds; doubled with each further time in a row, up to the maximum. */
const FIRST_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 2000;
/** Number of headers that builds read which do not state theirs: the runtime's maximum. */
const RUNTIME_MAX_HEADERS = 1000;
/** Headers that forwarding adds: those of the connection, of the body's framing, and those that the instances share. */
const ADDED_HEADERS = 10;
/** Maximum number of instances whose pauses are kept; beyond it, all are forgotten. */
const MAX_PAUSES = 1024;

/** An instance that may help. */
export interface Peer {
	readonly id: InstanceId;
	readonly region: RegionName;
	/** Its listener for other instances; undefined: it has none. */
	readonly peers: Endpoint | undefined;
	/** Maximum number of headers of a request that it reads; undefined: it does not state it. */
	readonly maxHeaders?: number | undefined;
}

/** An instance that was chosen. */
export interface ChosenPeer extends Peer {
	readonly peers: Endpoint;
}

/** Options of {@link PeerChoice}. */
export interface PeerChoiceOptions {
	readonly self: InstanceId;
	readonly region: RegionName;
	/** Live instances, with or without this one. */
	readonly instances: () => readonly Peer[];
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Options of {@link PeerChoice.choose}. */
export interface ChoosePeerOptions {
	readonly route: Pick<Route, 'homeRegions'>;
	/** Number of end-to-end headers of the request. */
	readonly headers: number;
	/** Instances that the request was forwarded to already. */
	readonly tried: ReadonlySet<InstanceId>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface Pause {
	readonly durationMs: number;
	/** Monotonic time, in milliseconds. */
	readonly untilMs: number;
}

/** Chooses among the instances: first one of this region, and one of another region if that could not help, as all of a region may be cut off. */
export class PeerChoice {
	readonly #options: PeerChoiceOptions;
	readonly #pauses = new Map<InstanceId, Pause>();

	constructor(options: PeerChoiceOptions) {
		this.#options = options;
	}

	/** Returns an instance that may help; undefined when there is none. The body of a request whose route has home regions goes to these only. */
	choose({route: {homeRegions}, headers, tried, nowMs}: ChoosePeerOptions): ChosenPeer | undefined {
		const {self, region, instances, random} = this.#options;
		const able = instances().filter((peer): peer is ChosenPeer => peer.id !== self && peer.peers !== undefined && !tried.has(peer.id) && nowMs >= (this.#pauses.get(peer.id)?.untilMs ?? 0));
		const reading = able.filter(({maxHeaders = RUNTIME_MAX_HEADERS}) => headers + ADDED_HEADERS <= maxHeaders);
		const allowed = reading.filter(peer => homeRegions.length === 0 || homeRegions.includes(peer.region));
		const prefersNear = tried.size === 0;
		const preferred = allowed.filter(peer => (peer.region === region) === prefersNear);
		const candidates = preferred.length > 0 ? preferred : allowed;
		return candidates[Math.floor(random() * candidates.length)];
	}

	/** Records that an instance could not help: it cannot reach the servers either, is full, or does not answer. */
	recordUnable({id, nowMs}: {readonly id: InstanceId; readonly nowMs: number}): void {
		if (this.#pauses.size >= MAX_PAUSES) {
			this.#pauses.clear();
		}

		const last = this.#pauses.get(id);
		if (last && nowMs < last.untilMs) {
			// Several requests were under way to it.
			return;
		}

		const durationMs = Math.min(MAX_PAUSE_MS, last ? last.durationMs * 2 : FIRST_PAUSE_MS);
		this.#pauses.set(id, {durationMs, untilMs: nowMs + durationMs});
	}

	/** Records that an instance could help. */
	recordAble(id: InstanceId): void {
		this.#pauses.delete(id);
	}
}
