/** This instance's observations of backend servers: requests in flight, load, failures, response times. */
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';
import {FailurePauses} from './failure-pauses.js';
import {MomentaryWorkFactor} from './work-factor.js';

/**
 * Time constant of the last load report of a server on other instances' requests, in milliseconds: after this time its
 * weight is down to 1/e, about a third, and the mean of the earlier reports has the rest. A queue is worked off in this
 * time, while the load that caused it lasts longer.
 */
const LOAD_DECAY_MS = 600;
/** Time constant of the mean itself, in milliseconds: without new requests the load of a server is soon unknown. */
const MEAN_LOAD_DECAY_MS = 10_000;
/** Age up to which the work factor that a server reported is worth telling other instances, in milliseconds. */
const MAX_SHARED_WORK_FACTOR_AGE_MS = 600;
/** Time for which the loads that all instances together know are used, in milliseconds: they are renewed twice a second. */
const SHARED_LOAD_LIFETIME_MS = 1500;
/** Weight of the newest load report in the mean. */
const LOAD_MEAN_WEIGHT = 0.15;
/**
 * The same for servers that report their work factor: there may be so many instances that one hears from a server only
 * every few seconds, while the objects that load a server stay the same for longer.
 */
const RARE_MEAN_LOAD_DECAY_MS = 30_000;
const RARE_LOAD_MEAN_WEIGHT = 0.3;
/** Time constant with which an observed slowness decays, in milliseconds, so that a slow server is tried again. */
const SLOWNESS_DECAY_MS = 5000;
/** Weight of the newest outcome in the share of failures, and of the newest response or timeout in the slowness. */
const OUTCOME_WEIGHT = 0.2;
/** Bounds of the slowness, the ratio of the measured to the expected time of a request. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 30;
/** Multiple of its expected time after which a pending request is overdue and counts towards the slowness of its server. */
const OVERDUE_FACTOR = 4;
/**
 * For servers that report their work factor, a single overdue request is taken for one of the few requests that take
 * several times as long as others, up to this multiple of its expected time; two overdue requests are not.
 */
const LONG_REQUEST_FACTOR = 15;
/** Maximum ratio of the measured to the expected time of one request at such a server, as a multiple of the slowness before it, so that several slow requests in a row are needed. */
const MAX_RATIO_GROWTH = 3;
/** A request that was sent and is still pending. */
export interface InFlightRequest {
	/** Time that it is expected to take, in milliseconds. */
	readonly expectedMs: number;
	/** Monotonic time at which it was sent, in milliseconds. */
	readonly sentAtMs: number;
	/** Work factor of the server that the expected time includes: time of work as a multiple of the usual time; 1 if absent. */
	readonly workFactor?: number;
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

/** Options of {@link ServerObservations.recordShared}. */
export interface RecordSharedOptions {
	/** Requests of other instances in flight at the server. */
	readonly othersInFlight: number;
	/** Newest work factor that the server reported to any instance, and its age in milliseconds; undefined: none that is recent. */
	readonly workFactor: {readonly factor: number; readonly ageMs: number} | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Observations of one server. */
export class ServerObservations {
	readonly #workFactor = new MomentaryWorkFactor();
	readonly #pauses = new FailurePauses();
	/** Requests in flight, each with the slowness that its expected time takes into account. */
	readonly #inFlight = new Map<InFlightRequest, number>();
	#othersInFlight = 0;
	#othersInFlightMean = 0;
	#reportedInFlight = 0;
	#loadAtMs = Number.NEGATIVE_INFINITY;
	/** Work factor in the last load report that this instance received. */
	#heardWorkFactor: number | undefined;
	#sharedOthersInFlight = 0;
	#sharedAtMs = Number.NEGATIVE_INFINITY;
	#failureShare = 0;
	#slowness = 1;
	#measuredSlowness = 1;
	#slownessAtMs = 0;

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
		return this.#pauses.isPaused(nowMs);
	}

	/** Requests in flight at the server by its last load report, or by that of all instances together if it is newer. */
	get reportedInFlight(): number {
		return this.#sharedAtMs >= this.#loadAtMs ? this.#inFlight.size + this.#sharedOthersInFlight : this.#reportedInFlight;
	}

	/** Monotonic time of that report, in milliseconds; minus infinity without any. */
	get loadAtMs(): number {
		return Math.max(this.#loadAtMs, this.#sharedAtMs);
	}

	/**
	 * Estimated number of requests in flight at the server; those of other instances come from its load reports, and as far
	 * as these are old from `usualInFlight`, the number that is usual at such a server.
	 */
	estimateInFlight(nowMs: number, usualInFlight = 0): number {
		if (this.#sharedAtMs >= this.#loadAtMs && nowMs - this.#sharedAtMs < SHARED_LOAD_LIFETIME_MS) {
			return this.#inFlight.size + this.#sharedOthersInFlight;
		}

		return this.#estimateFromOwnReports(nowMs, usualInFlight);
	}

	/**
	 * Estimated number of requests in flight, for a request that any server may take. Shared loads are up to a second old: if
	 * all instances chose by them, they would send their requests to the same few servers until the next report. Servers that
	 * report their work factor are chosen among in another way, see `ServiceSpread` in steering/objects.
	 */
	estimateForFreeChoice(nowMs: number): number {
		return this.reportsWorkFactor ? this.estimateInFlight(nowMs) : this.#estimateFromOwnReports(nowMs, 0);
	}

	/** Ratio of the measured to the expected time of requests at the server, from recent responses and from overdue requests. */
	slownessAt(nowMs: number): number {
		return Math.min(MAX_SLOWNESS, Math.max(this.#decay(this.#slowness, nowMs), this.#overdueRatioAt(nowMs)));
	}

	/** Whether the server reports how long work takes at the moment. */
	get reportsWorkFactor(): boolean {
		return this.#workFactor.isReported;
	}

	/** Expected time of work at the server at this moment, as a multiple of the usual time. */
	workFactorAt(nowMs: number): number {
		return this.#workFactor.at(nowMs);
	}

	/** Applies the load in a response to a health check, if it states the work factor. */
	recordHealth({load, nowMs}: {readonly load: ServerLoad; readonly nowMs: number}): void {
		if (load.workFactor !== undefined) {
			this.#recordLoad({load, ownInFlight: this.#inFlight.size, nowMs});
		}
	}

	/** Ratio of the measured times of requests to those that were expected without any slowness, from recent responses alone. */
	measuredSlownessAt(nowMs: number): number {
		return this.#decay(this.#measuredSlowness, nowMs);
	}

	/** Work factor that the server reported last to this instance; undefined without a report that is recent enough to be shared. */
	recentWorkFactor(nowMs: number): {readonly factor: number; readonly ageMs: number} | undefined {
		const ageMs = nowMs - this.#loadAtMs;
		return this.#heardWorkFactor !== undefined && ageMs <= MAX_SHARED_WORK_FACTOR_AGE_MS ? {factor: this.#heardWorkFactor, ageMs} : undefined;
	}

	/** Applies what all instances together know: the requests of the others in flight, and the work factor that the server reported to one of them. */
	recordShared({othersInFlight, workFactor, nowMs}: RecordSharedOptions): void {
		this.#sharedOthersInFlight = othersInFlight;
		this.#sharedAtMs = nowMs;
		if (workFactor) {
			this.#workFactor.record({factor: workFactor.factor, nowMs: nowMs - workFactor.ageMs});
		}
	}

	/** Records that a request was sent. */
	begin(request: InFlightRequest): void {
		this.#inFlight.set(request, this.slownessAt(request.sentAtMs));
	}

	/** Records how a request ended. */
	end({request, end, load, nowMs}: EndObservationOptions): void {
		if (load) {
			this.#recordLoad({load, ownInFlight: this.#inFlight.size - 1, nowMs});
		}

		const slownessAtStart = this.#inFlight.get(request) ?? 1;
		this.#inFlight.delete(request);
		const durationMs = nowMs - request.sentAtMs;
		this.#pauses.record({end, nowMs});
		if (end === 'cancelled') {
			return;
		}

		this.#failureShare += OUTCOME_WEIGHT * (Number(end !== 'answered') - this.#failureShare);
		if (end === 'answered' || end === 'timed-out') {
			// The reported work factor changes sooner than the slowness, which is measured relative to it.
			const reported = load?.workFactor === undefined ? 1 : load.workFactor / (request.workFactor ?? 1);
			const maxRatio = this.reportsWorkFactor ? Math.min(MAX_SLOWNESS, MAX_RATIO_GROWTH * this.#slowness) : MAX_SLOWNESS;
			const ratio = Math.min(maxRatio, durationMs / Math.max(1, request.expectedMs * reported));
			this.#slowness += OUTCOME_WEIGHT * (clampSlowness(ratio) - this.#slowness);
			this.#measuredSlowness += OUTCOME_WEIGHT * (clampSlowness(ratio * slownessAtStart) - this.#measuredSlowness);
			this.#slownessAtMs = nowMs;
		}
	}

	/** Requests in flight by the reports that this instance received itself. */
	#estimateFromOwnReports(nowMs: number, usualInFlight: number): number {
		const lastWeight = Math.exp((this.#loadAtMs - nowMs) / LOAD_DECAY_MS);
		const knownWeight = Math.exp((this.#loadAtMs - nowMs) / (this.reportsWorkFactor ? RARE_MEAN_LOAD_DECAY_MS : MEAN_LOAD_DECAY_MS));
		const usualOthers = Math.max(0, usualInFlight - this.#inFlight.size);
		return this.#inFlight.size + (this.#othersInFlight * lastWeight) + (this.#othersInFlightMean * (knownWeight - lastWeight)) + (usualOthers * (1 - knownWeight));
	}

	/** Largest ratio of the age of a pending request to its expected time that counts towards the slowness; 0 without any. */
	#overdueRatioAt(nowMs: number): number {
		if (this.#inFlight.size === 0) {
			return 0;
		}

		let largest = 0;
		let overdue = 0;
		for (const {sentAtMs, expectedMs} of this.#inFlight.keys()) {
			const ratio = (nowMs - sentAtMs) / Math.max(1, expectedMs);
			overdue += Number(ratio > OVERDUE_FACTOR);
			largest = ratio > OVERDUE_FACTOR ? Math.max(largest, ratio) : largest;
		}

		return this.reportsWorkFactor && overdue === 1 && largest <= LONG_REQUEST_FACTOR ? 0 : largest;
	}

	#recordLoad({load, ownInFlight, nowMs}: {readonly load: ServerLoad; readonly ownInFlight: number; readonly nowMs: number}): void {
		this.#heardWorkFactor = load.workFactor;
		this.#reportedInFlight = load.running + load.waiting;
		this.#othersInFlight = Math.max(0, this.#reportedInFlight - ownInFlight);
		const meanWeight = load.workFactor === undefined ? LOAD_MEAN_WEIGHT : RARE_LOAD_MEAN_WEIGHT;
		this.#othersInFlightMean += meanWeight * (this.#othersInFlight - this.#othersInFlightMean);
		this.#loadAtMs = nowMs;
		if (load.workFactor !== undefined) {
			this.#workFactor.record({factor: load.workFactor, nowMs});
		}
	}

	#decay(slowness: number, nowMs: number): number {
		return 1 + ((slowness - 1) * Math.exp((this.#slownessAtMs - nowMs) / SLOWNESS_DECAY_MS));
	}
}

function clampSlowness(ratio: number): number {
	return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
}

/** Observations of all servers by name. */
export class ObservationTable {
	readonly #observations = new Map<BackendServerName, {readonly startedAtMs: number | undefined; readonly observations: ServerObservations}>();

	/** Whether any server reports how long work takes at the moment. */
	get hasWorkFactorReports(): boolean {
		return [...this.#observations.values()].some(({observations}) => observations.reportsWorkFactor);
	}

	/** Lists the observations by server. */
	list(): ReadonlyArray<readonly [BackendServerName, ServerObservations]> {
		return [...this.#observations].map(([name, {observations}]) => [name, observations]);
	}

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
