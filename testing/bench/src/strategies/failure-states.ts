/** States of a region of the planned size, drawn from the planned failure rates. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {plannedSize, SECONDS_PER_DAY} from '../capacity/planned-size.js';
import type {RegionState} from './view-strategies.js';

const DAYS_PER_YEAR = 365;
const HOURS_PER_YEAR = DAYS_PER_YEAR * 24;
/** Durations that the planned rates leave open. */
const INSTANCE_OUTAGE_SECONDS = 300;
const RACK_OUTAGE_HOURS = 1;
const DOMAIN_OUTAGE_HOURS = 4;
const RACKS_LOST_PER_YEAR = 8;
const DOMAINS_LOST_PER_YEAR = 2;
const RACK_INSTANCES = 10;

/** A kind of time in the year of one region. */
export interface FailureClass {
	readonly name: string;
	/** Part of the year that one region spends in it. */
	readonly partOfYear: number;
	/** Instances that are lost together, of one failure domain. */
	readonly lostInstances: number;
}

const perDomain = Math.round(plannedSize.nodes / plannedSize.failureDomains);
const domainsPerRegion = Math.round(plannedSize.failureDomains / plannedSize.regions);
const rackPart = RACKS_LOST_PER_YEAR * RACK_OUTAGE_HOURS / HOURS_PER_YEAR / plannedSize.regions;
const domainPart = DOMAINS_LOST_PER_YEAR * DOMAIN_OUTAGE_HOURS / HOURS_PER_YEAR / plannedSize.regions;

/** Part of the time that an instance is down by itself: failed, restarted or replaced. */
export const instanceDownPart = (plannedSize.failuresPerDay + plannedSize.replacementsPerDay) * INSTANCE_OUTAGE_SECONDS / SECONDS_PER_DAY / plannedSize.nodes;

/** Ordinary time, a rack lost, and a failure domain lost. A region that is cut off is the same for each strategy inside it. */
export const failureClasses: readonly FailureClass[] = [
	{name: 'ordinary', partOfYear: 1 - rackPart - domainPart, lostInstances: 0},
	{name: 'a rack lost', partOfYear: rackPart, lostInstances: RACK_INSTANCES},
	{name: 'a failure domain lost', partOfYear: domainPart, lostInstances: perDomain},
];

/** Draws the state of a region in a class. */
export function drawRegion({lostInstances, random}: {readonly lostInstances: number; readonly random: RandomGenerator}): RegionState {
	const lostDomain = uniformInt(random, 0, domainsPerRegion - 1);
	return Array.from({length: domainsPerRegion}, (_, domain) => Array.from({length: perDomain}, (__, instance) =>
		!(domain === lostDomain && instance < lostInstances) && uniformFloat64(random) >= instanceDownPart));
}
