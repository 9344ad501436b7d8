/** What this instance has observed of backend servers: requests in flight, load, failures, speed. */
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';

/**
 * Time after which the last word of a server on other instances' requests counts for a third (1/e), in milliseconds,
 * and the mean of what it said for the rest: a queue is worked off in this time, the load that made it lasts.
 */
const LOAD_DECAY_MS = 600;
/** Time after which the mean itself counts for a third, in milliseconds: a server that is not asked is no longer known. */
const MEAN_LOAD_DECAY_MS = 10_000;
/** Weight of the newest word in the mean. */
const LOAD_MEAN_WEIGHT = 0.15;
/** Time after which an observed slowness counts for a third (1/e), in milliseconds, so that a server is tried again. */
const SLOWNESS_DECAY_MS = 5000;
/** Weight of the newest outcome in the share of failures, and of the newest answer in the slowness. */
const OUTCOME_WEIGHT = 0.2;
/** Bounds of the slowness of a server against the expectation. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 30;
/** Multiple of its expected time after which an unanswered request says that its server is slow. */
const OVERDUE_FACTOR = 4;
/** Pauses after a request that the server did not take, in milliseconds: it was full, or is no longer at its address. */
const SHED_PAUSE_MS = 20;
const LEAVING_PAUSE_MS = 1000;
/** Pauses after failures in a row, in milliseconds, doubled up to the longest. */
const CONNECT_PAUSE_MS = 200;
const FAILURE_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5000;
/** Requests that fail in a row before a server that takes connections is left alone: a single answer may be lost on its way. */
const FAILURES_BEFORE_PAUSE = 2;
const MAX_DOUBLINGS = 6;

/** A request that was sent and has not ended. */
export interface InFlightRequest {
	/** Time that it is expected to take, in milliseconds. */
	readonly expectedMs: number;
	/** Monotonic time at which it was sent, in milliseconds. */
	readonly sentAtMs: number;
}

/** Options of {@link ServerObservations.end}. */
export interface EndObservationOptions {
	readonly request: InFlightRequest;
	readonly end: SlotEnd;
	/** What the answer said of the server's load; undefined when it said nothing. */
	readonly load: ServerLoad | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Observations of one server. */
export class ServerObservations {
	readonly #inFlight = new Set<InFlightRequest>();
	#othersInFlight = 0;
	#othersInFlightMean = 0;
	#loadAtMs = Number.NEGATIVE_INFINITY;
	#failureShare = 0;
	#slowness = 1;
	#slownessAtMs = 0;
	#failuresInRow = 0;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;

	/** Requests of this instance at the server. */
	get inFlight(): number {
		return this.#inFlight.size;
	}

	/** Part of the last requests that failed, from 0 to 1, the newest weighing most. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Whether the server is left alone after it shed or failed. */
	isPaused(nowMs: number): boolean {
		return nowMs < this.#pausedUntilMs;
	}

	/** Requests at the server, those of other instances by its word on them. */
	estimateInFlight(nowMs: number): number {
		const lastShare = Math.exp((this.#loadAtMs - nowMs) / LOAD_DECAY_MS);
		const meanShare = Math.exp((this.#loadAtMs - nowMs) / MEAN_LOAD_DECAY_MS) - lastShare;
		return this.#inFlight.size + (this.#othersInFlight * lastShare) + (this.#othersInFlightMean * meanShare);
	}

	/** Time that requests take at the server against the expectation: of answers of late, and of those that are overdue. */
	slownessAt(nowMs: number): number {
		const remembered = 1 + ((this.#slowness - 1) * Math.exp((this.#slownessAtMs - nowMs) / SLOWNESS_DECAY_MS));
		let slowness = remembered;
		for (const {sentAtMs, expectedMs} of this.#inFlight) {
			const ratio = (nowMs - sentAtMs) / Math.max(1, expectedMs);
			slowness = ratio > OVERDUE_FACTOR ? Math.max(slowness, ratio) : slowness;
		}

		return Math.min(MAX_SLOWNESS, slowness);
	}

	/** Notes that a request is sent. */
	begin(request: InFlightRequest): void {
		this.#inFlight.add(request);
	}

	/** Notes how a request ended. */
	end({request, end, load, nowMs}: EndObservationOptions): void {
		if (load) {
			this.#othersInFlight = Math.max(0, load.running + load.waiting - (this.#inFlight.size - 1));
			this.#othersInFlightMean += LOAD_MEAN_WEIGHT * (this.#othersInFlight - this.#othersInFlightMean);
			this.#loadAtMs = nowMs;
		}

		this.#inFlight.delete(request);
		const heldMs = nowMs - request.sentAtMs;
		this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + this.#pauseMs(end));
		if (end === 'cancelled') {
			return;
		}

		this.#failureShare += OUTCOME_WEIGHT * (Number(end !== 'answered') - this.#failureShare);
		if (end === 'answered' || end === 'timed-out') {
			const ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, heldMs / Math.max(1, request.expectedMs)));
			this.#slowness += OUTCOME_WEIGHT * (ratio - this.#slowness);
			this.#slownessAtMs = nowMs;
		}
	}

	/** Time for which the server is left alone after a request ended so, in milliseconds. */
	#pauseMs(end: SlotEnd): number {
		switch (end) {
			case 'answered': {
				this.#failuresInRow = 0;
				return 0;
			}

			case 'shed': {
				return SHED_PAUSE_MS;
			}

			case 'leaving': {
				return LEAVING_PAUSE_MS;
			}

			case 'connect-failed': {
				return this.#doubledPauseMs(CONNECT_PAUSE_MS);
			}

			case 'failed': {
				const pauseMs = this.#doubledPauseMs(FAILURE_PAUSE_MS);
				return this.#failuresInRow < FAILURES_BEFORE_PAUSE ? 0 : pauseMs;
			}

			case 'timed-out':
			case 'cancelled': {
				return 0;
			}
		}
	}

	#doubledPauseMs(firstMs: number): number {
		const pauseMs = firstMs * (2 ** Math.min(MAX_DOUBLINGS, this.#failuresInRow));
		this.#failuresInRow += 1;
		return Math.min(MAX_PAUSE_MS, pauseMs);
	}
}

/** Observations of all servers by name. */
export class ObservationTable {
	readonly #observations = new Map<BackendServerName, {readonly startedAtMs: number | undefined; readonly observations: ServerObservations}>();

	/** Observations of one start of a server; a restart under the same name begins anew. */
	get({name, startedAtMs}: {readonly name: BackendServerName; readonly startedAtMs: number | undefined}): ServerObservations {
		const known = this.#observations.get(name);
		if (known?.startedAtMs === startedAtMs && known) {
			return known.observations;
		}

		const observations = new ServerObservations();
		this.#observations.set(name, {startedAtMs, observations});
		return observations;
	}

	/** Forgets a server. */
	forget(name: BackendServerName): void {
		this.#observations.delete(name);
	}
}
