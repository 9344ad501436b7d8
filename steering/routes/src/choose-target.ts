/** Chooses one of the services between which a route splits its traffic. */
import type {Route, ServiceName} from '@pomelopick/core.types';

/** Options of {@link chooseTarget}. */
export interface ChooseTargetOptions {
	readonly route: Route;
	/** Number from 0 up to 1. */
	readonly part: number;
}

/** The service that a request goes to: each target gets a share of the range of `part` in proportion to its weight. */
export function chooseTarget({route: {targets}, part}: ChooseTargetOptions): ServiceName {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let left = part * total;
	for (const {service, weight} of targets) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return targets.findLast(({weight}) => weight > 0)!.service;
}
