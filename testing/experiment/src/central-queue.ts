/** Ideal to compare with: one queue before all slots of a service, first come, first served, without any delay. */
import type {Arrival} from './workload.js';

/** Latency of each arrival, in milliseconds, in order of arrival. */
export function idealLatencies({arrivals, slots}: {readonly arrivals: readonly Arrival[]; readonly slots: number}): number[] {
	const freeAtMs = Array.from({length: slots}, () => 0);
	return arrivals.map(({atMs, workMs}) => {
		let first = 0;
		for (let slot = 1; slot < slots; slot += 1) {
			first = freeAtMs[slot]! < freeAtMs[first]! ? slot : first;
		}

		const startsAtMs = Math.max(atMs, freeAtMs[first]!);
		freeAtMs[first] = startsAtMs + workMs;
		return startsAtMs + workMs - atMs;
	});
}
