/** What callers got in a play. */

/** How a caller's request ended, its return after a refusal included. */
export type RequestEnd = 'in-target' | 'late' | 'refused' | 'failed';

/** Share of requests by how they ended, from 0 to 1. */
export type EndShares = Readonly<Record<RequestEnd, number>>;

/** Figures of a play. */
export interface PlayFigures {
	readonly requests: number;
	readonly shares: EndShares;
	/** Shares of the requests of each region's callers. */
	readonly sharesByRegion: ReadonlyMap<string, EndShares>;
	/** Median time to an answer, in milliseconds, over the answered requests. */
	readonly medianMs: number;
	/** Share of the runs at servers that did not have the object in memory, from 0 to 1. */
	readonly coldShare: number;
	/** Share of the sends that servers shed, from 0 to 1. */
	readonly shedShare: number;
	/** Runs of the busiest server as a multiple of the mean. */
	readonly busiest: number;
	/** Highest mean of a second of the requests in flight in a region as a multiple of its slots. */
	readonly peakRegionLoad: number;
	/** Largest share of a region's requests that changed their region from an interval of 2 s to the next. */
	readonly maxShift: number;
}

/** One request that ended. */
export interface EndedRequest {
	/** Region of the caller. */
	readonly region: string;
	readonly end: RequestEnd;
	/** Time from its first arrival to its end, in milliseconds. */
	readonly elapsedMs: number;
}

/** Options of {@link sumUp}. */
export interface SumUpOptions extends Pick<PlayFigures, 'peakRegionLoad' | 'maxShift'> {
	readonly ended: readonly EndedRequest[];
	readonly runs: number;
	readonly coldRuns: number;
	readonly sheds: number;
	/** Runs of the busiest server. */
	readonly mostRuns: number;
	/** Number of servers. */
	readonly servers: number;
}

/** Sums a play up. */
export function sumUp({
	ended, runs, coldRuns, sheds, mostRuns, servers, peakRegionLoad, maxShift,
}: SumUpOptions): PlayFigures {
	const answered = ended.filter(({end}) => end === 'in-target' || end === 'late').map(({elapsedMs}) => elapsedMs).toSorted((left, right) => left - right);
	const regions = [...new Set(ended.map(({region}) => region))];
	return {
		requests: ended.length,
		shares: shareOut(ended),
		sharesByRegion: new Map(regions.map(name => [name, shareOut(ended.filter(({region}) => region === name))])),
		medianMs: answered[Math.floor(answered.length / 2)] ?? 0,
		coldShare: coldRuns / Math.max(1, runs),
		shedShare: sheds / Math.max(1, sheds + runs),
		busiest: mostRuns * servers / Math.max(1, runs),
		peakRegionLoad,
		maxShift,
	};
}

function shareOut(ended: readonly EndedRequest[]): EndShares {
	const share = (end: RequestEnd): number => ended.filter(request => request.end === end).length / Math.max(1, ended.length);
	return {
		'in-target': share('in-target'), late: share('late'), refused: share('refused'), failed: share('failed'),
	};
}

/** Worth of an answer after the target latency, against 1 for one in time. */
const LATE_WORTH = 0.2;
/** Weights of both users' sheets: the whole day, the worst-served place and the share that is served at all. */
const WHOLE_WEIGHT = 0.336;
const WORST_WEIGHT = 0.3;
const SERVED_WEIGHT = 0.14;

/** What a play is worth to callers by the sheets of the users, from 0 to 1; their other parts are left out. */
export function worthOf({shares, sharesByRegion}: PlayFigures): number {
	const whole = creditOf(shares);
	const worst = Math.min(...[...sharesByRegion.values()].map(region => creditOf(region)));
	const served = shares['in-target'] + shares.late;
	return ((WHOLE_WEIGHT * whole) + (WORST_WEIGHT * worst) + (SERVED_WEIGHT * served)) / (WHOLE_WEIGHT + WORST_WEIGHT + SERVED_WEIGHT);
}

function creditOf(shares: EndShares): number {
	return shares['in-target'] + (LATE_WORTH * shares.late);
}
