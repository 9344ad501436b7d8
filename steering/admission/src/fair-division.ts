/** Divides what is admitted among organisations, max-min fair and with equal weights. */
import type {OrganisationName} from '@pomelopick/core.types';
import {maxMinLevel} from './max-min-level.js';

/** Organisation of a request; the requests without one share the empty name. */
export type ShareHolder = OrganisationName | '';

/** Shares of the organisations. */
export interface FairDivision {
	/** Part of the requests of each organisation that is above its share, from 0 to 1. */
	readonly excess: ReadonlyMap<ShareHolder, number>;
	/** Admitted requests per second, divided by the number of organisations; infinite without any. */
	readonly equalPart: number;
}

/** Options of {@link divideFairly}. */
export interface DivideFairlyOptions {
	/** Requests per second that the organisations send. */
	readonly demands: ReadonlyMap<ShareHolder, number>;
	/** Requests per second that are admitted. */
	readonly capacity: number;
}

/** Divides the capacity. */
export function divideFairly({demands, capacity}: DivideFairlyOptions): FairDivision {
	// If the capacity is less than the smallest demand for each, that demand is the level: only load above it counts as excess.
	const level = Math.max(maxMinLevel({demands: [...demands.values()], capacity}), Math.min(...demands.values()));
	const excess = [...demands].map(([holder, demand]): [ShareHolder, number] => [holder, Math.max(0, 1 - (level / demand))]);
	return {excess: new Map(excess), equalPart: demands.size === 0 ? Number.POSITIVE_INFINITY : capacity / demands.size};
}
