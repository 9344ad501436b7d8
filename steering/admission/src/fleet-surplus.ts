/**
 * Divides the capacity that the fleet was seen to serve among the priorities, the most urgent first.
 *
 * An instance that sees few requests cannot tell from their expected waits which priorities fit: the waits vary more than
 * the limits of two priorities differ. The sums over the fleet say what is served and what each priority sends.
 */
import type {PriorityDemand, ServiceDemand} from '@pomelopick/steering.loads';
import type {ShareHolder} from './fair-division.js';
import {maxMinLevel} from './max-min-level.js';

/**
 * Mean wait, as a share of the longest that requests accept, at which as much is admitted as is answered. Longer ones make
 * the queues of single servers reject urgent requests while the sums are old.
 */
const USUAL_WAIT = 0.2;
/**
 * Mean wait below which there is room, whatever is answered: where objects are uneven, some servers are short while others
 * idle. Sudden rises count at once, as the queues fill before the mean wait in the sums shows it.
 */
const MIN_WAIT = 0.25;
/** Change of what is admitted for each share of the wait above or below the usual one. The sums are up to two seconds old, so that from 0.5 on the waits swing. */
const WAIT_CORRECTION = 0.15;
/** Share of its requests that each priority keeps, relative to the mean of all: the guaranteed quarter, and a margin for what is rejected afterwards. */
const MIN_RELATIVE_SHARE = 0.35;

/** What is above the capacity in the requests of one priority. */
interface PrioritySurplus {
	/** Part of all requests of the priority, from 0 to 1. */
	readonly mean: number;
	/** Part of the requests of each organisation; those above their max-min fair share lose more. */
	readonly byHolder: ReadonlyMap<ShareHolder, number>;
}

/** Surplus of the priorities. */
export type FleetSurplus = ReadonlyMap<number, PrioritySurplus>;

/** Options of {@link findSurplus}. */
export interface FindSurplusOptions {
	readonly demand: ServiceDemand;
	/** Whether sudden rises of organisations are a noticeable part of the demand. */
	readonly isRising: boolean;
}

/** Returns what is above the capacity; undefined: all requests fit, or it is not known what is served. */
export function findSurplus({demand, isRising}: FindSurplusOptions): FleetSurplus | undefined {
	const {flow, priorities} = demand;
	const offered = priorities.reduce((total, {offeredRate}) => total + offeredRate, 0);
	if (!flow || offered === 0) {
		return undefined;
	}

	const meanWait = flow.waitRate / offered;
	const capacity = flow.answeredRate * (1 + (WAIT_CORRECTION * (USUAL_WAIT - meanWait)));
	return meanWait < (isRising ? 0 : MIN_WAIT) || offered <= capacity ? undefined : divideByUrgency({demand, capacity, minPart: MIN_RELATIVE_SHARE * capacity / offered});
}

function divideByUrgency({demand, capacity, minPart}: {readonly demand: ServiceDemand; readonly capacity: number; readonly minPart: number}): FleetSurplus {
	const {priorities} = demand;
	let left = capacity;
	for (const {offeredRate} of priorities) {
		left -= minPart * offeredRate;
	}

	const surplus = new Map<number, PrioritySurplus>();
	for (const one of priorities.toSorted((a, b) => a.priority - b.priority)) {
		const aboveMin = Math.min(left, (1 - minPart) * one.offeredRate);
		left -= aboveMin;
		const allowedPart = one.offeredRate === 0 ? 1 : Math.min(1, minPart + (aboveMin / one.offeredRate));
		surplus.set(one.priority, divideFairlyBy({demand, one, allowedPart}));
	}

	return surplus;
}

/** Organisations that are not listed keep the same part of the capacity as they have of the demand. */
function divideFairlyBy({demand: {organisations}, one: {priority}, allowedPart}: {readonly demand: ServiceDemand; readonly one: PriorityDemand; readonly allowedPart: number}): PrioritySurplus {
	const demands = organisations.map(({holder, rates}): readonly [ShareHolder, number] => [holder, rates.get(priority) ?? 0]);
	const listed = demands.reduce((total, [, rate]) => total + rate, 0);
	const level = maxMinLevel({demands: demands.map(([, rate]) => rate), capacity: listed * allowedPart});
	const partOf = (rate: number): number => allowedPart === 1 || rate === 0 ? 0 : Math.max(0, 1 - (level / rate));
	return {mean: 1 - allowedPart, byHolder: new Map(demands.map(([holder, rate]) => [holder, partOf(rate)]))};
}
