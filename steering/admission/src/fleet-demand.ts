/**
 * What all instances together know of the demand for one service.
 *
 * With many instances, each sees so few requests of an organisation that a rise to several times its usual can hardly be
 * told from random variation. The sums over the fleet decide while they are recent.
 */
import {recentRateOf} from '@pomelopick/steering.loads';
import type {OrganisationDemand, ServiceDemand} from '@pomelopick/steering.loads';
import {divideFairly} from './fair-division.js';
import type {FairDivision, ShareHolder} from './fair-division.js';
import {findSurplus} from './fleet-surplus.js';
import type {FleetSurplus} from './fleet-surplus.js';
import {riseThresholdOf} from './organisation-load.js';
import type {OrganisationRates} from './organisation-load.js';

/** Age up to which sums are used, in milliseconds: three intervals between reports, so that a single lost one changes nothing. */
const MAX_AGE_MS = 1500;

/** Share of the demand from which on sudden rises explain a shortage, so that others are not refused because of it: random variation of all organisations stays below it. */
const MIN_RISING_SHARE = 0.05;

/** Share of the instances that must have told what they serve, so that the capacity is known: a single region of three does not show it. */
const MIN_COVERAGE = 0.75;

/** Multiple of the surplus of its priority from which on an organisation counts as sending above its share; random variation stays below it. */
const ABOVE_SHARE_FACTOR = 2;

/** Load of an organisation at all instances, and its shares. */
export interface FleetStanding {
	readonly rates: OrganisationRates;
	/** Requests per second of each organisation if all had the same part of what is admitted. */
	readonly equalPart: number;
	/** Part of its requests of the priority that is above its fair share, from 0 to 1; undefined: no such requests are known. */
	readonly excess: number | undefined;
}

/** What is above the capacity of the service in the requests of an organisation and a priority. */
export interface SurplusPart {
	/** Part of the requests, from 0 to 1. */
	readonly part: number;
	/** Whether the organisation loses much more than others, as it sends above its fair share. */
	readonly isAboveShare: boolean;
}

/** Options of {@link FleetDemand.apply}. */
export interface ApplyDemandOptions {
	readonly demand: ServiceDemand;
	/** Number of instances that are known to live. */
	readonly liveInstances: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface KnownDemand {
	/** Share of the demand that is part of sudden rises. */
	readonly risingShare: number;
	readonly organisations: ReadonlyMap<ShareHolder, OrganisationRates>;
	readonly equalPart: number;
	readonly byPriority: ReadonlyMap<number, FairDivision>;
	/** Undefined: all requests fit, or it is not known whether they do. */
	readonly surplus: FleetSurplus | undefined;
}

/** Keeps the newest sums. */
export class FleetDemand {
	#known: KnownDemand | undefined;
	#atMs = Number.NEGATIVE_INFINITY;

	/** Replaces the sums. */
	apply({demand, liveInstances, nowMs}: ApplyDemandOptions): void {
		const {organisations, priorities} = demand;
		this.#atMs = nowMs;
		const {equalPart} = divide({demand, rateOf: recentRateOf, priorities});
		const loads = organisations.map(({holder, usualRate, ...rest}): readonly [ShareHolder, OrganisationRates] => [holder, {
			recentRate: recentRateOf(rest), riseThreshold: riseThresholdOf(usualRate),
		}]);
		const rising = sum(loads.map(([, {recentRate, riseThreshold}]) => Math.max(0, recentRate - Math.max(equalPart, riseThreshold))));
		const offered = sum(priorities.map(({offeredRate}) => offeredRate));
		const risingShare = offered === 0 ? 0 : rising / offered;
		const isCovered = (demand.flow?.instances ?? 0) >= MIN_COVERAGE * liveInstances;
		this.#known = {
			organisations: new Map(loads),
			equalPart,
			risingShare,
			surplus: isCovered ? findSurplus({demand, isRising: risingShare >= MIN_RISING_SHARE}) : undefined,
			byPriority: new Map(priorities.map(one => [one.priority, divide({demand, rateOf: ({rates}) => rates.get(one.priority) ?? 0, priorities: [one]})])),
		};
	}

	/** Whether sudden rises are a noticeable part of the demand. */
	isRising(nowMs: number): boolean {
		return (this.#recent(nowMs)?.risingShare ?? 0) >= MIN_RISING_SHARE;
	}

	/** Load and shares of an organisation; undefined: not known, or too old. */
	standingOf({holder, priority, nowMs}: {readonly holder: ShareHolder; readonly priority: number; readonly nowMs: number}): FleetStanding | undefined {
		const known = this.#recent(nowMs);
		const rates = known?.organisations.get(holder);
		return known && rates && {rates, equalPart: known.equalPart, excess: known.byPriority.get(priority)?.excess.get(holder)};
	}

	/** What is above the capacity; undefined: all requests fit, or the sums are not known, too old, or those of a part of the fleet. */
	surplusOf({holder, priority, nowMs}: {readonly holder: ShareHolder; readonly priority: number; readonly nowMs: number}): SurplusPart | undefined {
		const surplus = this.#recent(nowMs)?.surplus;
		const {mean, byHolder} = surplus?.get(priority) ?? {mean: 0, byHolder: undefined};
		const part = byHolder?.get(holder) ?? mean;
		return surplus && {part, isAboveShare: part > ABOVE_SHARE_FACTOR * mean};
	}

	#recent(nowMs: number): KnownDemand | undefined {
		return nowMs - this.#atMs <= MAX_AGE_MS ? this.#known : undefined;
	}
}

/** Divides what is admitted of some priorities. Organisations that are not listed keep the same part of it as they have of the demand. */
function divide({demand, rateOf, priorities}: {readonly demand: ServiceDemand; readonly rateOf: (organisation: OrganisationDemand) => number; readonly priorities: ServiceDemand['priorities']}): FairDivision {
	const demands = new Map(demand.organisations.map((organisation): [ShareHolder, number] => [organisation.holder, rateOf(organisation)]).filter(([, rate]) => rate > 0));
	const listed = sum([...demands.values()]);
	const offered = sum(priorities.map(({offeredRate}) => offeredRate));
	const admitted = sum(priorities.map(({admittedRate}) => admittedRate));
	return divideFairly({demands, capacity: offered === 0 ? 0 : admitted * Math.min(1, listed / offered)});
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0);
}
