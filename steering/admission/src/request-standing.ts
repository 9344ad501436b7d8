/**
 * Ranks the requests of a service by what speaks against admitting them while its capacity is short.
 *
 * The disadvantage of a request is the share of the maximum wait by which its own maximum is shorter at full pressure. It
 * follows from the urgency of the request, from what its organisation sends above its fair share, and from the sums over
 * the fleet where these are known.
 */
import type {OrganisationDemand, ServiceDemand} from '@pomelopick/steering.loads';
import type {ShareHolder} from './fair-division.js';
import {FairShares} from './fair-shares.js';
import {findOrCreate} from './find-or-create.js';
import {FleetDemand} from './fleet-demand.js';
import type {ApplyDemandOptions, SurplusPart} from './fleet-demand.js';
import {PartSelector} from './part-selector.js';
import {UrgencyClasses} from './urgency-classes.js';
import type {UrgencyRank} from './urgency-classes.js';

/** Disadvantage of the least urgent priority. */
const LEAST_URGENT_DISADVANTAGE = 0.85;
/**
 * Additions to the disadvantage, as parts of the distance to the next less urgent priority: at most the first for requests
 * that miss their target, in proportion to the excess of the expected time over what is left of it, up to once the target;
 * the second for requests above the fair share of their organisation.
 */
const LATE_STEP = 0.5;
const ABOVE_SHARE_STEP = 0.4;
/** Disadvantage of the least urgent priority in what fits into the capacity of the fleet: long waits correct what the sums, which are up to two seconds old, admit. */
const FITTING_DISADVANTAGE = 0.2;
/** Disadvantage of what exceeds the capacity of the fleet: a wait up to half of the longest shows that the server has room after all, as where objects are uneven or callers repeat what was refused. */
const SURPLUS_DISADVANTAGE = 0.5;
/** Share of the requests of an organisation that is admitted, relative to the mean of all organisations, from which on none of its requests is refused here; the guaranteed quarter and a margin for what is rejected afterwards. */
const MIN_RELATIVE_SHARE = 0.35;
/** Requests per second of an organisation below which its load is not worth sending to other instances: a request counts until about four times the time constant of the rate. */
const MIN_REPORTED_RATE = 0.01;

/** Options of {@link RequestStandings.recordAdmitted}. */
export interface RequestOptions {
	readonly priority: number;
	readonly holder: ShareHolder;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link RequestStandings.recordOffered}. */
export interface RecordRequestOptions extends RequestOptions {
	/** Expected time at the server, including the wait, in milliseconds. */
	readonly expectedMs: number;
	/** Target latency of the request, and what is left of it, in milliseconds; may be negative. */
	readonly targetMs: number;
	readonly targetLeftMs: number;
}

interface SurplusOptions {
	readonly priority: number;
	readonly rank: UrgencyRank;
	readonly surplus: SurplusPart;
}

/** How a request stands against the others of its service. */
export interface RequestStanding {
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

/** Keeps the demand for one service, from which the standings of its requests follow. */
export class RequestStandings {
	readonly #urgencies = new UrgencyClasses();
	readonly #shares = new FairShares();
	readonly #sharesByPriority = new Map<number, FairShares>();
	readonly #surplusSelectors = new Map<number, PartSelector>();
	readonly #fleet = new FleetDemand();

	/** Demand that this instance measures. */
	measureDemand(nowMs: number): Pick<ServiceDemand, 'priorities' | 'organisations'> {
		return {
			priorities: [...this.#sharesByPriority].map(([priority, shares]) => ({priority, ...shares.momentaryRates(nowMs)})),
			organisations: this.#shares.list().map(([holder, load]) => ({holder, usualRate: load.usualRate(nowMs), rates: this.#ratesOf({holder, nowMs})})),
		};
	}

	/** Applies the sums over all instances. */
	applyFleetDemand(options: ApplyDemandOptions): void {
		this.#fleet.apply(options);
	}

	/** Records a request, and returns its standing. */
	recordOffered({priority, holder, expectedMs, targetMs, targetLeftMs, nowMs}: RecordRequestOptions): RequestStanding {
		const rank = this.#urgencies.record({priority, nowMs});
		const fleet = this.#fleet.standingOf({holder, priority, nowMs});
		const load = this.#shares.recordOffered({holder, fleet: fleet?.rates, nowMs});
		const shares = findOrCreate({map: this.#sharesByPriority, key: priority, create: () => new FairShares()});
		const loadInPriority = shares.recordOffered({holder, nowMs});
		const {recentRate, riseThreshold} = fleet?.rates ?? load.rates(nowMs);
		const allowedRate = Math.max(fleet?.equalPart ?? this.#shares.equalPart, riseThreshold);
		const isSuddenRise = load.selectExcess(Math.max(0, 1 - (allowedRate / recentRate)));
		const isAboveShare = loadInPriority.selectExcess(fleet?.excess ?? shares.excess(holder));
		const lateness = Math.min(1, Math.max(0, (expectedMs - targetLeftMs) / targetMs));
		const surplus = this.#fleet.surplusOf({holder, priority, nowMs});
		if (surplus) {
			return {
				...this.#disadvantagesBySurplus({priority, rank, surplus}), isSuddenRise, isLate: false, isFleetShort: true,
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

	/** Records that the last request of an organisation was admitted. */
	recordAdmitted({priority, holder, nowMs}: RequestOptions): void {
		this.#shares.recordAdmitted({holder, nowMs});
		this.#sharesByPriority.get(priority)?.recordAdmitted({holder, nowMs});
	}

	/** Whether so few of the recent requests of an organisation were admitted that none of its requests may be refused. */
	isBelowMinimum({holder, nowMs}: Omit<RequestOptions, 'priority'>): boolean {
		const meanShare = this.#shares.admittedShare(nowMs);
		return this.#shares.loadOf(holder)!.admittedShare({meanShare, nowMs}) < MIN_RELATIVE_SHARE * meanShare;
	}

	/** Disadvantages where it is known what exceeds the capacity of the fleet. */
	#disadvantagesBySurplus({priority, rank: {index, count}, surplus: {part, isAboveShare}}: SurplusOptions): Pick<RequestStanding, 'byUrgency' | 'total'> {
		const fitting = FITTING_DISADVANTAGE * index / Math.max(1, count - 1);
		const selector = findOrCreate({map: this.#surplusSelectors, key: priority, create: () => new PartSelector()});
		const total = selector.select(part) ? SURPLUS_DISADVANTAGE : fitting;
		return {byUrgency: isAboveShare ? fitting : total, total};
	}

	/** Requests per second of an organisation by priority. */
	#ratesOf({holder, nowMs}: {readonly holder: ShareHolder; readonly nowMs: number}): OrganisationDemand['rates'] {
		const rates = [...this.#sharesByPriority].map(([priority, shares]): [number, number] => [priority, shares.loadOf(holder)?.momentaryRate(nowMs) ?? 0]);
		return new Map(rates.filter(([, rate]) => rate >= MIN_REPORTED_RATE));
	}
}

/** Disadvantage of a request by its priority; `step` is added as a part of the distance to the next priority. */
function disadvantage({rank: {index, count}, step}: {readonly rank: UrgencyRank; readonly step: number}): number {
	return LEAST_URGENT_DISADVANTAGE * (index + step) / (count - 1 + LATE_STEP + ABOVE_SHARE_STEP);
}
