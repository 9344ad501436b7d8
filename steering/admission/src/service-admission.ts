/**
 * Decides which requests of a service are refused while its capacity is short.
 *
 * Under pressure, the less urgent a request is the shorter is the wait at which it is refused. Refusing the least urgent
 * requests first lowers the waits, so that the pressure settles where the remaining requests fit and urgent ones are
 * admitted. Without pressure nothing is refused here.
 */
import type {PlacementEstimate, PlacementRefusal} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';
import type {ServiceDemand} from '@pomelopick/steering.loads';
import type {ShareHolder} from './fair-division.js';
import {findOrCreate} from './find-or-create.js';
import type {ApplyDemandOptions} from './fleet-demand.js';
import {ProbeSchedule} from './probe-schedule.js';
import {RequestStandings} from './request-standing.js';
import type {RequestStanding} from './request-standing.js';
import {retryAfterMs} from './retry-after.js';
import {pressureOf, risePressureOf, ServicePressure} from './service-pressure.js';

/** Disadvantage of a sudden rise of an organisation: larger than that of any priority, but less than 1, as a server without a queue would often be idle until the next request. */
const SUDDEN_RISE_DISADVANTAGE = 0.9;

/** Options of {@link ServiceAdmission.decide}. */
export interface DecideOptions {
	readonly service: ServiceName;
	readonly priority: number;
	readonly holder: ShareHolder;
	readonly estimate: PlacementEstimate;
	/** Target latency of the request, and what is left of it, in milliseconds; may be negative. */
	readonly targetMs: number;
	readonly targetLeftMs: number;
	/** A refusal for another reason; the request then counts as not admitted. */
	readonly earlierRefusal: PlacementRefusal | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number from 0 up to 1. */
	readonly random: number;
}

interface StandingRequest extends DecideOptions {
	readonly standing: RequestStanding;
}

interface WaitLimits {
	/** By all that speaks against the request. */
	readonly share: number;
	/** By its urgency alone. */
	readonly urgencyShare: number;
	/** The larger one of the pressures that the limits follow from, from 0 to 1. */
	readonly pressure: number;
}

/** Decides on the requests of one service. */
export class ServiceAdmission {
	readonly #pressure: ServicePressure;
	readonly #standings = new RequestStandings();
	/** By priority. */
	readonly #probes = new Map<number, ProbeSchedule>();

	constructor(nowMs: number) {
		this.#pressure = new ServicePressure(nowMs);
	}

	/** Pressure at the service, from 0 to 1. */
	pressure(nowMs: number): number {
		return pressureOf(this.#pressure.shortage(nowMs));
	}

	/** Records whether the server of a request rejected it. */
	recordSend(options: {readonly isRejected: boolean; readonly nowMs: number}): void {
		this.#pressure.recordSend(options);
	}

	/** Records a request for which no server took requests. */
	recordUnplaced(nowMs: number): void {
		this.#pressure.recordWait({share: 1, nowMs});
	}

	/** Demand for the service that this instance measures. */
	measureDemand({service, nowMs}: {readonly service: ServiceName; readonly nowMs: number}): ServiceDemand {
		return {service, ...this.#standings.measureDemand(nowMs), flow: this.#pressure.measureFlow(nowMs)};
	}

	/** Applies the sums over all instances. */
	applyFleetDemand(options: ApplyDemandOptions): void {
		this.#standings.applyFleetDemand(options);
	}

	/** Decides on a request; returns its refusal, or undefined if it is admitted. */
	decide(options: DecideOptions): PlacementRefusal | undefined {
		const {estimate, earlierRefusal, nowMs} = options;
		this.#pressure.recordWait({share: estimate.waitMs / Math.max(1, estimate.maxWaitMs), nowMs});
		const standing = this.#standings.recordOffered({...options, expectedMs: estimate.expectedMs});
		const refusal = earlierRefusal ?? this.#refuse({...options, standing});
		if (!refusal && estimate.waitMs < estimate.maxWaitMs) {
			this.#standings.recordAdmitted(options);
		}

		return refusal;
	}

	#refuse(request: StandingRequest): PlacementRefusal | undefined {
		const {priority, holder, standing, estimate: {waitMs, maxWaitMs}, nowMs} = request;
		const waitShare = (waitMs / Math.max(1, maxWaitMs)) + this.#pressure.rejectionLoad(nowMs);
		const limits = findWaitLimits({standing, waitShare, shortage: this.#pressure.shortage(nowMs)});
		if (waitMs >= maxWaitMs) {
			// Whatever its urgency, the placer refuses to let the request wait so long.
			return undefined;
		}

		const probes = findOrCreate({map: this.#probes, key: priority, create: () => new ProbeSchedule()});
		// A server with a free slot is room, whatever others rejected.
		if (waitMs === 0 || limits.share === 1 || waitShare <= limits.share) {
			probes.recordPassed(nowMs);
			return undefined;
		}

		if (this.#standings.isBelowMinimum({holder, nowMs}) || probes.tryPass(nowMs)) {
			return undefined;
		}

		return toRefusal({request, limits, isByUrgency: limits.urgencyShare < 1 && waitShare > limits.urgencyShare});
	}
}

interface FindWaitLimitsOptions {
	readonly standing: RequestStanding;
	/** Expected wait of the request and the rejections of its service, as a share of the maximum wait. */
	readonly waitShare: number;
	/** How short the capacity is, as a share of the maximum wait. */
	readonly shortage: number;
}

/** The waits up to which a request is admitted, as shares of its maximum wait. */
function findWaitLimits({standing, waitShare, shortage}: FindWaitLimitsOptions): WaitLimits {
	// The wait of the request itself shows a shortage sooner than the mean, while what a sudden rise sends makes the queues longer.
	const risePressure = standing.isSuddenRise ? risePressureOf(Math.max(shortage, waitShare)) : 0;
	const pressure = standing.isFleetShort ? 1 : pressureOf(shortage);
	return {
		share: Math.min(1 - (pressure * standing.total), 1 - (risePressure * SUDDEN_RISE_DISADVANTAGE)),
		urgencyShare: 1 - (pressure * standing.byUrgency),
		pressure: Math.max(pressure, risePressure),
	};
}

function toRefusal({request, limits: {share, pressure}, isByUrgency}: {readonly request: StandingRequest; readonly limits: WaitLimits; readonly isByUrgency: boolean}): PlacementRefusal {
	const {service, priority, standing, estimate: {waitMs, maxWaitMs}, random} = request;
	const what = isByUrgency ? `priority ${priority}${standing.isLate ? ', which would miss its target' : ''}` : 'what its organisation sends above its fair share';
	const limitMs = Math.max(0, share * maxWaitMs);
	return {
		reason: isByUrgency ? 'capacity-short' : 'organisation-share-exceeded',
		detail: `the capacity of ${service} is short (pressure ${pressure.toFixed(2)}); the expected wait is ${Math.round(waitMs)} ms, the maximum for ${what} is ${Math.round(limitMs)} ms`,
		retryAfterMs: retryAfterMs({untilRoomMs: waitMs - limitMs, pressure, random}),
	};
}
