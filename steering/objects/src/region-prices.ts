/**
 * Prices of the regions of a service: how far the requests that would go there are to be kept away from each.
 *
 * A region's price rises while its load is above a bound and falls while it is below, as in the dual decomposition of
 * flow control (Kelly, Maulloo and Tan, JORS 1998). Where the load is lowest the price is zero. Integrating the measured
 * loads tolerates that they are late and vary at random, where a response to the present load alone would have to be so
 * steep near the slots that it oscillates. Prices also decay, so that instances that were started at different times
 * arrive at the same ones.
 */
import type {RegionName} from '@pomelopick/core.types';
import type {RegionShares} from './region-plan.js';

/** Prices by region, at least 0; absent regions have the price 0. */
export type Prices = ReadonlyMap<RegionName, number>;

/** Part of the slots that are free on average which a region may use beyond the mean load before its price rises; the rest is left for the decay and for random variation. */
const HEADROOM_PART = 0.25;
/** Minimum distance of the bound from the mean load, as a part of the mean: prices do not rise everywhere when all regions are full. At a mean of 0.95 it leaves 0.02 below the slots for the decay. */
const MIN_HEADROOM = 0.03;
/** Change of a price in a second, for each request in flight for each slot beyond the bound. Twice as much oscillates with loads that are measured with a time constant of 5 s. */
const PRICE_PER_SECOND = 0.3;
/** Price for each request in flight for each slot beyond the bound at present, in addition to the integral, so that a sudden load is responded to at once. */
const PRICE_PER_LOAD = 1;
/** Maximum difference from the bound that is responded to: the integral changes by at most 0.06 a second, which shares can follow in their steps. */
const MAX_DIFFERENCE = 0.2;
/** Time constant of the decay, in milliseconds. A region with the steady price of 4 is loaded 0.015 above the bound. */
const DECAY_MS = 900_000;
/** Maximum price; a region's callers keep e^-6 of their requests there. */
const MAX_PRICE = 6;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link RegionPrices.update}. */
export interface UpdatePricesOptions {
	/** Shares of the slots by region. */
	readonly slotShares: RegionShares;
	/** Load of each region, in requests in flight for each slot; absent when it is not known. */
	readonly loads: ReadonlyMap<RegionName, number>;
	/** Time since the last update, in milliseconds. */
	readonly elapsedMs: number;
}

/** Load of a region, in requests in flight for each slot, above which its price rises, at a mean load of all regions. */
export function loadBound(meanLoad: number): number {
	return meanLoad + Math.max(MIN_HEADROOM * meanLoad, HEADROOM_PART * (1 - meanLoad));
}

/** Keeps the prices of one service. */
export class RegionPrices {
	/** The part of the prices that is integrated over time. */
	#integrals: Prices = new Map();
	#prices: Prices = new Map();

	/** Current prices. */
	get current(): Prices {
		return this.#prices;
	}

	/** Changes the prices by the loads. A region whose load is not known counts as one with the mean load. */
	update({slotShares, loads, elapsedMs}: UpdatePricesOptions): void {
		const differences = listDifferences({slotShares, loads});
		this.#integrals = new Map([...differences].map(([name, difference]) => {
			const limited = Math.min(MAX_DIFFERENCE, Math.max(-MAX_DIFFERENCE, difference));
			const integral = ((this.#integrals.get(name) ?? 0) * (1 - (elapsedMs / DECAY_MS))) + (limited * PRICE_PER_SECOND * elapsedMs / MILLISECONDS_PER_SECOND);
			return [name, Math.min(MAX_PRICE, Math.max(0, integral))];
		}));
		this.#prices = new Map([...differences].map(([name, difference]) => [name, Math.max(0, this.#integrals.get(name)! + (PRICE_PER_LOAD * difference))]));
	}
}

/** Loads beyond the bound, in requests in flight for each slot; relative to the mean load where that exceeds the slots. */
function listDifferences({slotShares, loads}: Omit<UpdatePricesOptions, 'elapsedMs'>): ReadonlyMap<RegionName, number> {
	const known = [...slotShares].filter(([name]) => loads.has(name));
	const knownShare = known.reduce((sum, [, share]) => sum + share, 0);
	const meanLoad = knownShare === 0 ? 0 : known.reduce((sum, [name, share]) => sum + (loads.get(name)! * share), 0) / knownShare;
	return new Map([...slotShares.keys()].map(name => [name, ((loads.get(name) ?? meanLoad) - loadBound(meanLoad)) / Math.max(1, meanLoad)]));
}
