/** Splits the bandwidth of a link between services, so that the instances that own the slots of different services need not coordinate. */
import type {ConfigurationSet, RegionName, Service} from '@pomelopick/core.types';

const BYTES_PER_MEGABIT = 125_000;
/** Weights of services by priority. */
const INTERACTIVE_WEIGHT = 3;
const DEFERRABLE_WEIGHT = 1;

/** Options of {@link linkShareBytesPerSecond}. */
export interface LinkShareOptions {
	readonly set: ConfigurationSet;
	readonly service: Service;
	readonly from: RegionName;
	readonly to: RegionName;
}

/** Bytes per second that a service may use in each direction between two regions; undefined when no link is configured. */
export function linkShareBytesPerSecond({set, service, from, to}: LinkShareOptions): number | undefined {
	const links = set.links.filter(({between}) => between.includes(from) && between.includes(to));
	if (links.length === 0) {
		return undefined;
	}

	const bytesPerSecond = links.reduce((sum, {megabitsPerSecond}) => sum + (megabitsPerSecond * BYTES_PER_MEGABIT), 0);
	const total = set.services.reduce((sum, other) => sum + weightOf(other), 0);
	return bytesPerSecond * weightOf(service) / total;
}

function weightOf({priority}: Service): number {
	return priority === 'interactive' ? INTERACTIVE_WEIGHT : DEFERRABLE_WEIGHT;
}
