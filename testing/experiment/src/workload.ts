/** Open-loop arrivals: every call's time, caller and length of work are drawn before the run. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const DRAW_RANGE = 1_000_000_000;
const MILLISECONDS_PER_SECOND = 1000;

/** One call to make. */
export interface Arrival {
	/** Time from the start of the run, in milliseconds. */
	readonly atMs: number;
	readonly service: string;
	/** Index of the caller. */
	readonly caller: number;
	/** Time that the backend server works on it, in milliseconds. */
	readonly workMs: number;
}

/** Arrivals of one service. */
export interface ServiceLoad {
	readonly service: string;
	readonly callsPerSecond: number;
	readonly meanWorkMs: number;
	readonly longestWorkMs: number;
}

/** Options of {@link drawArrivals}. */
export interface DrawArrivalsOptions {
	readonly loads: readonly ServiceLoad[];
	readonly callers: number;
	readonly durationMs: number;
	readonly seed: number;
}

/** Draws Poisson arrivals with exponential work, bounded by the longest, in order of time. */
export function drawArrivals({loads, callers, durationMs, seed}: DrawArrivalsOptions): readonly Arrival[] {
	const random = xoroshiro128plus(seed);
	const drawExponential = (mean: number): number => -mean * Math.log((1 + uniformInt(random, 0, DRAW_RANGE - 1)) / DRAW_RANGE);
	return loads.flatMap(({service, callsPerSecond, meanWorkMs, longestWorkMs}) => {
		const arrivals: Arrival[] = [];
		for (let atMs = 0; ;) {
			atMs += drawExponential(MILLISECONDS_PER_SECOND / callsPerSecond);
			if (atMs >= durationMs) {
				return arrivals;
			}

			arrivals.push({
				atMs, service, caller: uniformInt(random, 0, callers - 1), workMs: Math.round(Math.min(longestWorkMs, 1 + drawExponential(meanWorkMs))),
			});
		}
	}).sort((left, right) => left.atMs - right.atMs);
}
