/**
 * Controls how the requests of this region's callers for one service are divided among the regions.
 *
 * Responds to regions that are loaded unevenly, from the load that the servers report. The shares begin at the plan (see
 * {@link planRegionShares}) and follow it when servers come and go. A region that stays above the bound of its load gets
 * a rising price, one below it a falling one (see {@link RegionPrices}). A more expensive region is sent less than planned,
 * and one that is more expensive still sends requests to regions that the plan leaves out. Prices fall to zero when loads
 * are equal, and the shares return to the plan.
 */
import type {RegionName} from '@pomelopick/core.types';
import {toShares} from './region-plan.js';
import type {RegionShares} from './region-plan.js';
import {RegionPrices} from './region-prices.js';
import type {Prices} from './region-prices.js';

/** Time between two steps, in milliseconds. */
export const STEP_INTERVAL_MS = 250;
/** Share of the requests that changes its region in one step: 0.08 in 2 s, which leaves a margin for random variation of the requests below the 0.15 that are allowed. */
const SHARE_PER_STEP = 0.01;
/** Maximum number of steps that are made up for after a time without requests. */
const MAX_STEPS = 8;
/** Price above the lowest one at which other regions send a region nothing, and beyond which it sends requests that the plan keeps there. */
const PRICE_GAP = 0.5;

/** Options of {@link RegionSpread.update}. */
export interface UpdateSpreadOptions {
	/** Shares that are planned for the present servers; regions without servers are absent. */
	readonly plan: RegionShares;
	/** Shares of the slots by region. */
	readonly slotShares: RegionShares;
	/** Load of each region, in requests in flight for each slot; absent when it is not known. */
	readonly loads: ReadonlyMap<RegionName, number>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Controls the shares of one service. */
export class RegionSpread {
	readonly #region: RegionName;
	readonly #prices = new RegionPrices();
	#shares: RegionShares = new Map();
	#steppedAtMs = Number.NEGATIVE_INFINITY;

	constructor({region}: {readonly region: RegionName}) {
		this.#region = region;
	}

	/** Current shares by region. */
	get shares(): RegionShares {
		return this.#shares;
	}

	/** Moves the shares towards what the plan and the loads call for; what a region without servers had moves at once. */
	update({plan, slotShares, loads, nowMs}: UpdateSpreadOptions): void {
		const steps = Math.min(MAX_STEPS, Math.floor((nowMs - this.#steppedAtMs) / STEP_INTERVAL_MS));
		const isFirst = this.#shares.size === 0;
		if (steps > 0 && !isFirst) {
			this.#prices.update({slotShares, loads, elapsedMs: steps * STEP_INTERVAL_MS});
		}

		const target = adjustShares({
			region: this.#region, plan, slotShares, prices: this.#prices.current,
		});
		const present = isFirst ? target : moveFromLost({shares: this.#shares, target, slotShares});
		this.#shares = approach({from: present, to: target, maxShare: SHARE_PER_STEP * Math.max(0, steps)});
		this.#steppedAtMs = steps > 0 ? nowMs : this.#steppedAtMs;
	}
}

interface AdjustSharesOptions extends Pick<UpdateSpreadOptions, 'plan' | 'slotShares'> {
	readonly region: RegionName;
	readonly prices: Prices;
}

/**
 * The planned shares, adjusted to the prices. A region whose price exceeds the lowest one by the gap gets nothing from
 * other regions, and only such a region sends requests to others that the plan leaves out. Since no region that is sent
 * requests by plan sends any by plan, no two regions send each other requests.
 */
function adjustShares({region, plan, slotShares, prices}: AdjustSharesOptions): RegionShares {
	const names = [...slotShares.keys()];
	const lowest = Math.min(...names.map(name => prices.get(name) ?? 0));
	const priceOf = (name: RegionName): number => (prices.get(name) ?? 0) - lowest;
	if (names.every(name => priceOf(name) === 0)) {
		return plan;
	}

	const admittedPart = (name: RegionName): number => Math.max(0, 1 - (priceOf(name) / PRICE_GAP));
	const admitted = new Map(names.filter(name => name !== region).map(name => [name, (plan.get(name) ?? 0) * admittedPart(name)]));
	const kept = (plan.get(region) ?? 0) * Math.exp(-priceOf(region));
	// A region without servers has no price; what is not admitted where it was planned has to go elsewhere.
	const leaving = slotShares.has(region) ? kept * Math.expm1(Math.max(0, priceOf(region) - PRICE_GAP)) : 1 - sumOf(admitted);
	return toShares(new Map(names.map(name =>
		[name, name === region ? kept : admitted.get(name)! + (leaving * slotShares.get(name)! * admittedPart(name))])));
}

function sumOf(shares: RegionShares): number {
	return [...shares.values()].reduce((sum, share) => sum + share, 0);
}

/** Moves the shares of regions that have no servers to the others, as the target divides them. */
function moveFromLost({shares, target, slotShares}: {readonly shares: RegionShares; readonly target: RegionShares; readonly slotShares: RegionShares}): RegionShares {
	const lost = [...shares].filter(([name]) => !slotShares.has(name)).reduce((sum, [, share]) => sum + share, 0);
	if (lost === 0) {
		return shares;
	}

	const missing = new Map([...target].map(([name, share]): [RegionName, number] => [name, Math.max(0, share - (shares.get(name) ?? 0))]));
	const missingShares = toShares([...missing.values()].some(share => share > 0) ? missing : target);
	return toShares(new Map([...slotShares.keys()].map(name => [name, (shares.get(name) ?? 0) + (lost * (missingShares.get(name) ?? 0))])));
}

/** Moves shares towards others; at most `maxShare` of the requests changes its region. */
function approach({from, to, maxShare}: {readonly from: RegionShares; readonly to: RegionShares; readonly maxShare: number}): RegionShares {
	const names = [...new Set([...from.keys(), ...to.keys()])];
	const moved = names.reduce((sum, name) => sum + Math.max(0, (to.get(name) ?? 0) - (from.get(name) ?? 0)), 0);
	if (moved <= maxShare) {
		return to;
	}

	const part = maxShare / moved;
	return toShares(new Map(names.map(name => [name, (from.get(name) ?? 0) + (part * ((to.get(name) ?? 0) - (from.get(name) ?? 0)))])));
}
