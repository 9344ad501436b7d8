/**
 * Decides which requests of a service are refused while its capacity is short.
 *
 * Under pressure, the less urgent a request is the shorter is the wait at which it is refused. Refusing the least urgent
 * requests first lowers the waits, so that the pressure settles where the remaining requests fit and urgent ones are
 * admitted. Without pressure nothing is refused here.
 *
 * The disadvantage of a request is the share of the maximum wait by which its own maximum is shorter at full pressure.
 */
import type {PlacementEstimate, PlacementRefusal} from '@pomelopick/steering.objects';
import type {ServiceName} from '@pomelopick/core.types';
import type {OrganisationDemand, ServiceDemand} from '@pomelopick/steering.loads';
import type {ShareHolder} from './fair-division.js';
import {FairShares} from './fair-shares.js';
import {ExcessCredit} from './excess-credit.js';
import {FleetDemand} from './fleet-demand.js';
import type {ApplyDemandOptions, SurplusPart} from './fleet-demand.js';
import {ProbeSchedule} from './probe-schedule.js';
import {retryAfterMs} from './retry-after.js';
import {pressureOf, risePressureOf, ServicePressure} from './service-pressure.js';
import {UrgencyClasses} from './urgency-classes.js';
import type {UrgencyRank} from './urgency-classes.js';

/** Disadvantage of the least urgent priority. */
const LEAST_URGENT_DISADVANTAGE = 0.85;
/** Disadvantage of a sudden rise of an organisation: larger than that of any priority, but less than 1, as a server without a queue would often be idle until the next request. */
const SUDDEN_RISE_DISADVANTAGE = 0.9;
/**
 * Additions to the disadvantage, as parts of the distance to the next less urgent priority: at most the first for requests
 * that miss their target, in proportion to the excess of the expected time over what is left of it, up to once the target;
 * the second for requests above the fair share of their organisation.
 */
const LATE_STEP = 0.5;
const ABOVE_SHARE_STEP = 0.4;
/** Disadvantage of the least urgent priority in what fits into the capacity of the fleet: long waits correct what the sums, which are up to two seconds old, admit. */
const FITTING_DISADVANTAGE = 0.4;
/** Disadvantage of what exceeds the capacity of the fleet: a wait up to a quarter of the longest shows that the server has room after all. */
const SURPLUS_DISADVANTAGE = 0.75;
/** Share of the requests of an organisation that is admitted, relative to the mean of all organisations, from which on none of its requests is refused here; the guaranteed quarter and a margin for what is rejected afterwards. */
const MIN_RELATIVE_SHARE = 0.35;

/** Requests per second of an organisation below which its load is not worth sending to other instances: a request counts until about four times the time constant of the rate. */
const MIN_REPORTED_RATE = 0.01;

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

interface Standing {
	/** Disadvantage by the priority and the target latency of the request. */
	readonly byUrgency: number;
	/** Disadvantage that also takes into account what its organisation sends above its share, but not a sudden rise. */
	readonly total: number;
	/** Whether the request is part of a sudden rise of its organisation. */
	readonly isSuddenRise: boolean;
	/** Whether the request is expected to miss its target latency. */
	readonly isLate: boolean;
	/** Whether the requests are known to exceed the capacity of the fleet; the disadvantages then count in full, whatever the pressure at this instance. */
	readonly isFleetShort: boolean;
}

/** Decides on the requests of one service. */
export class ServiceAdmission {
	readonly #pressure: ServicePressure;
	readonly #urgencies = new UrgencyClasses();
	readonly #shares = new FairShares();
	readonly #sharesByPriority = new Map<number, FairShares>();
	readonly #probes = new Map<number, ProbeSchedule>();
	readonly #surpluses = new Map<number, ExcessCredit>();
	readonly #fleet = new FleetDemand();

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
		return {
			service,
			priorities: [...this.#sharesByPriority].map(([priority, shares]) => ({priority, ...shares.momentaryRates(nowMs)})),
			organisations: this.#shares.list().map(([holder, load]) => ({holder, usualRate: load.usualRate(nowMs), rates: this.#ratesOf({holder, nowMs})})),
			flow: this.#pressure.measureFlow(nowMs),
		};
	}

	/** Applies the sums over all instances. */
	applyFleetDemand(options: ApplyDemandOptions): void {
		this.#fleet.apply(options);
	}

	/** Decides on a request; returns its refusal, or undefined if it is admitted. */
	decide(options: DecideOptions): PlacementRefusal | undefined {
		const {estimate, earlierRefusal, nowMs} = options;
		this.#pressure.recordWait({share: estimate.waitMs / Math.max(1, estimate.maxWaitMs), nowMs});
		const standing = this.#recordOffered(options);
		const refusal = earlierRefusal ?? this.#refuse({...options, standing});
		if (!refusal && estimate.waitMs < estimate.maxWaitMs) {
			this.#recordAdmitted(options);
		}

		return refusal;
	}

	/** Records the request, and returns its disadvantages. */
	#recordOffered({priority, holder, estimate, targetMs, targetLeftMs, nowMs}: DecideOptions): Standing {
		const rank = this.#urgencies.record({priority, nowMs});
		const fleet = this.#fleet.standingOf({holder, priority, nowMs});
		const load = this.#shares.recordOffered({holder, fleet: fleet?.rates, nowMs});
		const shares = findOrCreate({map: this.#sharesByPriority, key: priority, create: () => new FairShares()});
		const loadInPriority = shares.recordOffered({holder, nowMs});
		const {recentRate, riseThreshold} = fleet?.rates ?? load.rates(nowMs);
		const allowedRate = Math.max(fleet?.equalPart ?? this.#shares.equalPart, riseThreshold);
		const isSuddenRise = load.takeExcess(Math.max(0, 1 - (allowedRate / recentRate)));
		const isAboveShare = loadInPriority.takeExcess(fleet?.excess ?? shares.excess(holder));
		const lateness = Math.min(1, Math.max(0, (estimate.expectedMs - targetLeftMs) / targetMs));
		const surplus = this.#fleet.surplusOf({holder, priority, nowMs});
		if (surplus) {
			return {
				...this.#standBySurplus({priority, rank, surplus}), isSuddenRise, isLate: false, isFleetShort: true,
			};
		}

		// While sudden rises make the capacity short, these are refused, and not what is late because of them.
		const lateStep = this.#fleet.isRising(nowMs) ? 0 : lateness * LATE_STEP;
		return {
			byUrgency: disadvantage({rank, step: lateStep}),
			total: disadvantage({rank, step: lateStep + (isAboveShare ? ABOVE_SHARE_STEP : 0)}),
			isSuddenRise,
			isLate: lateness > 0,
			isFleetShort: false,
		};
	}

	/** Disadvantages where it is known what exceeds the capacity of the fleet. */
	#standBySurplus({priority, rank: {index, count}, surplus: {part, isAboveShare}}: {readonly priority: number; readonly rank: UrgencyRank; readonly surplus: SurplusPart}): Pick<Standing, 'byUrgency' | 'total'> {
		const fitting = FITTING_DISADVANTAGE * index / Math.max(1, count - 1);
		const credit = findOrCreate({map: this.#surpluses, key: priority, create: () => new ExcessCredit()});
		const total = credit.take(part) ? SURPLUS_DISADVANTAGE : fitting;
		return {byUrgency: isAboveShare ? fitting : total, total};
	}

	#recordAdmitted({priority, holder, nowMs}: DecideOptions): void {
		this.#shares.recordAdmitted({holder, nowMs});
		this.#sharesByPriority.get(priority)?.recordAdmitted({holder, nowMs});
	}

	/** Requests per second of an organisation by priority. */
	#ratesOf({holder, nowMs}: {readonly holder: ShareHolder; readonly nowMs: number}): OrganisationDemand['rates'] {
		const rates = [...this.#sharesByPriority].map(([priority, shares]): [number, number] => [priority, shares.loadOf(holder)?.momentaryRate(nowMs) ?? 0]);
		return new Map(rates.filter(([, rate]) => rate >= MIN_REPORTED_RATE));
	}

	#refuse({standing, ...options}: DecideOptions & {readonly standing: Standing}): PlacementRefusal | undefined {
		const {service, priority, holder, estimate: {waitMs, maxWaitMs}, nowMs, random} = options;
		const waitShare = (waitMs / Math.max(1, maxWaitMs)) + this.#pressure.rejectionLoad(nowMs);
		const shortage = this.#pressure.shortage(nowMs);
		// The wait of the request itself shows a shortage sooner than the mean, while what a sudden rise sends makes the queues longer.
		const risePressure = standing.isSuddenRise ? risePressureOf(Math.max(shortage, waitShare)) : 0;
		const pressure = standing.isFleetShort ? 1 : pressureOf(shortage);
		const urgencyLimit = 1 - (pressure * standing.byUrgency);
		const limit = Math.min(1 - (pressure * standing.total), 1 - (risePressure * SUDDEN_RISE_DISADVANTAGE));
		if (waitMs >= maxWaitMs) {
			// Whatever its urgency, the placer refuses to let the request wait so long.
			return undefined;
		}

		const probes = findOrCreate({map: this.#probes, key: priority, create: () => new ProbeSchedule()});
		// A server with a free slot is room, whatever others rejected.
		if (waitMs === 0 || limit === 1 || waitShare <= limit) {
			probes.recordPassed(nowMs);
			return undefined;
		}

		const meanShare = this.#shares.admittedShare(nowMs);
		const isBelowMinimum = this.#shares.loadOf(holder)!.admittedShare({meanShare, nowMs}) < MIN_RELATIVE_SHARE * meanShare;
		if (isBelowMinimum || probes.tryPass(nowMs)) {
			return undefined;
		}

		const isByUrgency = urgencyLimit < 1 && waitShare > urgencyLimit;
		const what = isByUrgency ? `priority ${priority}${standing.isLate ? ', which would miss its target' : ''}` : 'what its organisation sends above its fair share';
		const shownPressure = Math.max(pressure, risePressure);
		const limitMs = Math.max(0, limit * maxWaitMs);
		return {
			reason: isByUrgency ? 'capacity-short' : 'organisation-share-exceeded',
			detail: `the capacity of ${service} is short (pressure ${shownPressure.toFixed(2)}); the expected wait is ${Math.round(waitMs)} ms, the maximum for ${what} is ${Math.round(limitMs)} ms`,
			retryAfterMs: retryAfterMs({untilRoomMs: waitMs - limitMs, pressure: shownPressure, random}),
		};
	}
}

/** Disadvantage of a request by its priority; `step` is added as a part of the distance to the next priority. */
function disadvantage({rank: {index, count}, step}: {readonly rank: UrgencyRank; readonly step: number}): number {
	return LEAST_URGENT_DISADVANTAGE * (index + step) / (count - 1 + LATE_STEP + ABOVE_SHARE_STEP);
}

function findOrCreate<Key, Value>({map, key, create}: {readonly map: Map<Key, Value>; readonly key: Key; readonly create: () => Value}): Value {
	let value = map.get(key);
	if (value === undefined) {
		value = create();
		map.set(key, value);
	}

	return value;
}
