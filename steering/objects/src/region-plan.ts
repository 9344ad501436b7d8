/**
 * Plans how the requests of a region's callers are divided among the regions before anything is measured.
 *
 * Responds to callers and slots that are distributed unevenly: a region keeps as much of its demand as its share of the
 * slots serves, and the rest goes to the regions that have more slots than demand, in proportion to what they have left
 * over. All instances plan with the same numbers, so that no two regions send each other requests by plan.
 */
import type {RegionName} from '@pomelopick/core.types';

/** Shares by region that add up to 1. */
export type RegionShares = ReadonlyMap<RegionName, number>;

/** Options of {@link planRegionShares}. */
export interface PlanRegionSharesOptions {
	/** Region whose requests are divided. */
	readonly region: RegionName;
	/** Usable slots of the service by region. */
	readonly slots: ReadonlyMap<RegionName, number>;
	/** Assumed demand by region, as shares of the whole. */
	readonly demand: RegionShares;
}

/** Plans the shares of a region's requests; empty when there are no slots. */
export function planRegionShares({region, slots, demand}: PlanRegionSharesOptions): RegionShares {
	const supply = toShares(slots);
	const ownDemand = demand.get(region) ?? 0;
	const ownSupply = supply.get(region) ?? 0;
	// A region with enough slots keeps all, one without any slots nothing.
	const kept = ownSupply >= ownDemand ? Math.sign(ownSupply) : ownSupply / ownDemand;
	const room = new Map([...supply].map(([name, share]): [RegionName, number] => [name, name === region ? 0 : Math.max(0, share - (demand.get(name) ?? 0))]));
	const others = toShares(room.size > 0 && [...room.values()].some(share => share > 0) ? room : withoutRegion(supply, region));
	const shares = new Map([...others].map(([name, share]): [RegionName, number] => [name, share * (1 - kept)]));
	shares.set(region, kept);
	return toShares(shares);
}

/** Scales numbers so that they add up to 1; leaves out those that are 0. */
export function toShares<Key>(numbers: ReadonlyMap<Key, number>): ReadonlyMap<Key, number> {
	const sum = [...numbers.values()].reduce((total, number) => total + number, 0);
	return new Map([...numbers].filter(([, number]) => number > 0).map(([key, number]) => [key, number / sum]));
}

function withoutRegion(shares: RegionShares, region: RegionName): RegionShares {
	return new Map([...shares].filter(([name]) => name !== region));
}
