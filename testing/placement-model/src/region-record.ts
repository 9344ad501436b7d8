/** Records how loaded regions are and between which regions requests move. */

/** Interval of which the shares of the regions are compared with those of the one before, in milliseconds. */
const INTERVAL_MS = 2000;
/** Time over which the load of a region is averaged, in milliseconds. */
const LOAD_WINDOW_MS = 1000;
/** Requests of a region in an interval below which its shares are too uncertain to compare. */
const MIN_REQUESTS = 100;

/** Options of {@link RegionRecord}. */
export interface RegionRecordOptions {
	/** Slots by region. */
	readonly slots: ReadonlyMap<string, number>;
	/** Start of the counted part of the play, in milliseconds. */
	readonly countedFromMs: number;
	/** Outage of a region; the shifts in the intervals around its start are forced and not counted. */
	readonly outage: {readonly fromMs: number; readonly untilMs: number} | undefined;
}

/** Record of one play. */
export class RegionRecord {
	readonly #options: RegionRecordOptions;
	/** Sends by interval, region of the caller and region of the server. */
	readonly #sends = new Map<number, Map<string, Map<string, number>>>();
	/** Requests in flight by region, summed over the samples of a window. */
	readonly #loads = new Map<string, number>();
	#samples = 0;
	#windowEndsMs = LOAD_WINDOW_MS;
	#peakLoad = 0;

	constructor(options: RegionRecordOptions) {
		this.#options = options;
	}

	/** Highest mean of a second of the requests in flight in a region as a multiple of its slots. */
	get peakLoad(): number {
		return this.#peakLoad;
	}

	/** Largest share of a region's requests that changed their region from an interval to the next. */
	get maxShift(): number {
		const {countedFromMs, outage} = this.#options;
		let max = 0;
		for (const [interval, sends] of this.#sends) {
			const startMs = interval * INTERVAL_MS;
			const isForced = outage !== undefined && startMs + INTERVAL_MS >= outage.fromMs && startMs - INTERVAL_MS <= outage.fromMs;
			const previous = this.#sends.get(interval - 1);
			if (!isForced && startMs - INTERVAL_MS >= countedFromMs && previous) {
				max = Math.max(max, ...[...sends].map(([from, to]) => shiftBetween(previous.get(from) ?? new Map<string, number>(), to)));
			}
		}

		return max;
	}

	/** Records that a request was sent to a server of a region. */
	recordSend({from, to, nowMs}: {readonly from: string; readonly to: string; readonly nowMs: number}): void {
		const interval = Math.floor(nowMs / INTERVAL_MS);
		const sends = this.#sends.get(interval) ?? new Map<string, Map<string, number>>();
		this.#sends.set(interval, sends);
		const targets = sends.get(from) ?? new Map<string, number>();
		sends.set(from, targets);
		targets.set(to, (targets.get(to) ?? 0) + 1);
	}

	/** Records the requests in flight at a server of a region, for the sample in progress. */
	recordLoad({region, inFlight}: {readonly region: string; readonly inFlight: number}): void {
		this.#loads.set(region, (this.#loads.get(region) ?? 0) + inFlight);
	}

	/** Ends a sample of all servers. */
	endSample(nowMs: number): void {
		this.#samples += 1;
		if (nowMs < this.#windowEndsMs) {
			return;
		}

		const {slots, countedFromMs} = this.#options;
		const loads = [...this.#loads].map(([region, sum]) => sum / this.#samples / slots.get(region)!);
		this.#peakLoad = nowMs - LOAD_WINDOW_MS >= countedFromMs ? Math.max(this.#peakLoad, ...loads) : this.#peakLoad;
		this.#loads.clear();
		this.#samples = 0;
		this.#windowEndsMs = nowMs + LOAD_WINDOW_MS;
	}
}

/** Share of requests that go to another region than in the interval before. */
function shiftBetween(before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>): number {
	const [countBefore, countAfter] = [before, after].map(counts => [...counts.values()].reduce((sum, count) => sum + count, 0));
	if (countBefore! < MIN_REQUESTS || countAfter! < MIN_REQUESTS) {
		return 0;
	}

	const names = new Set([...before.keys(), ...after.keys()]);
	const moved = [...names].map(name => Math.abs(((after.get(name) ?? 0) / countAfter!) - ((before.get(name) ?? 0) / countBefore!)));
	return moved.reduce((sum, share) => sum + share, 0) / 2;
}
