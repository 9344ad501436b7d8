/** This instance's observations of backend servers: requests in flight, load, failures, response times. */
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';

/**
 * Time constant of the last load report of a server on other instances' requests, in milliseconds: after this time its
 * weight is down to 1/e, about a third, and the mean of the earlier reports has the rest. A queue is worked off in this
 * time, while the load that caused it lasts longer.
 */
const LOAD_DECAY_MS = 600;
/** Time constant of the mean itself, in milliseconds: without new requests the load of a server is soon unknown. */
const MEAN_LOAD_DECAY_MS = 10_000;
/** Weight of the newest load report in the mean. */
const LOAD_MEAN_WEIGHT = 0.15;
/** Time constant with which an observed slowness decays, in milliseconds, so that a slow server is tried again. */
const SLOWNESS_DECAY_MS = 5000;
/** Weight of the newest outcome in the share of failures, and of the newest response or timeout in the slowness. */
const OUTCOME_WEIGHT = 0.2;
/** Bounds of the slowness, the ratio of the measured to the expected time of a request. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 30;
/** Multiple of its expected time after which a pending request is overdue and counts towards the slowness of its server. */
const OVERDUE_FACTOR = 4;
/** Pauses after a request that the server did not accept, in milliseconds: it was full, or it is leaving. */
const SHED_PAUSE_MS = 20;
const LEAVING_PAUSE_MS = 1000;
/** Initial and maximum pauses after failures, in milliseconds; the pause doubles with each failure in a row. */
const CONNECT_PAUSE_MS = 200;
const FAILURE_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5000;
/** Failures in a row before a server that accepts connections is paused: a single response may be lost in the network. */
const FAILURES_BEFORE_PAUSE = 2;
const MAX_DOUBLINGS = 6;

/** A request that was sent and is still pending. */
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
	/** Load that the server reported in its response; undefined when it reported none. */
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

	/** Number of requests of this instance in flight at the server. */
	get inFlight(): number {
		return this.#inFlight.size;
	}

	/** Moving average of the share of requests that failed, from 0 to 1; newer outcomes have more weight. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Whether the server gets no requests for now, after it shed a request, reported that it is leaving or failed. */
	isPaused(nowMs: number): boolean {
		return nowMs < this.#pausedUntilMs;
	}

	/** Estimated number of requests in flight at the server; those of other instances come from its load reports. */
	estimateInFlight(nowMs: number): number {
		const lastWeight = Math.exp((this.#loadAtMs - nowMs) / LOAD_DECAY_MS);
		const meanWeight = Math.exp((this.#loadAtMs - nowMs) / MEAN_LOAD_DECAY_MS) - lastWeight;
		return this.#inFlight.size + (this.#othersInFlight * lastWeight) + (this.#othersInFlightMean * meanWeight);
	}

	/** Ratio of the measured to the expected time of requests at the server, from recent responses and from overdue requests. */
	slownessAt(nowMs: number): number {
		const decayed = 1 + ((this.#slowness - 1) * Math.exp((this.#slownessAtMs - nowMs) / SLOWNESS_DECAY_MS));
		let slowness = decayed;
		for (const {sentAtMs, expectedMs} of this.#inFlight) {
			const ratio = (nowMs - sentAtMs) / Math.max(1, expectedMs);
			slowness = ratio > OVERDUE_FACTOR ? Math.max(slowness, ratio) : slowness;
		}

		return Math.min(MAX_SLOWNESS, slowness);
	}

	/** Records that a request was sent. */
	begin(request: InFlightRequest): void {
		this.#inFlight.add(request);
	}

	/** Records how a request ended. */
	end({request, end, load, nowMs}: EndObservationOptions): void {
		if (load) {
			this.#othersInFlight = Math.max(0, load.running + load.waiting - (this.#inFlight.size - 1));
			this.#othersInFlightMean += LOAD_MEAN_WEIGHT * (this.#othersInFlight - this.#othersInFlightMean);
			this.#loadAtMs = nowMs;
		}

		this.#inFlight.delete(request);
		const durationMs = nowMs - request.sentAtMs;
		this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + this.#pauseMs(end));
		if (end === 'cancelled') {
			return;
		}

		this.#failureShare += OUTCOME_WEIGHT * (Number(end !== 'answered') - this.#failureShare);
		if (end === 'answered' || end === 'timed-out') {
			const ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, durationMs / Math.max(1, request.expectedMs)));
			this.#slowness += OUTCOME_WEIGHT * (ratio - this.#slowness);
			this.#slownessAtMs = nowMs;
		}
	}

	/** Time for which the server is paused after a request ended in this way, in milliseconds. */
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

	/** Observations of one start of a server; a restart under the same name resets them. */
	get({name, startedAtMs}: {readonly name: BackendServerName; readonly startedAtMs: number | undefined}): ServerObservations {
		const known = this.#observations.get(name);
		if (known?.startedAtMs === startedAtMs && known) {
			return known.observations;
		}

		const observations = new ServerObservations();
		this.#observations.set(name, {startedAtMs, observations});
		return observations;
	}

	/** Removes the observations of a server. */
	forget(name: BackendServerName): void {
		this.#observations.delete(name);
	}
}
