/** The planned set with any number of client blocks. */
import {createPlannedSet, plannedSize} from '@pomelopick/config.examples';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';

/** Options of {@link generateSet}. */
export interface GenerateSetOptions {
	readonly clientBlocks: number;
	readonly seed: number;
}

/** A set with the planned places and the given number of client blocks. */
export function generateSet({clientBlocks, seed}: GenerateSetOptions): ConfigurationSetInput {
	return createPlannedSet({seed, size: {...plannedSize, clientBlocks}});
}
