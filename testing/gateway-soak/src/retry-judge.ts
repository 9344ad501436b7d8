/** Judges what servers got beyond the first arrival of each request against a retry budget over sliding windows. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import type {Violation} from './judge.js';

/** Distance of the windows that are looked at besides those that begin or end with an arrival, in milliseconds. */
const STEP_MS = 50;

/** A retry budget. */
export interface RetryAllowance {
	/** Repeats for each request. */
	readonly ratio: number;
	/** Repeats in a window that are allowed besides. */
	readonly allowance: number;
	readonly windowMs: number;
}

/** Options of {@link judgeRetries}. */
export interface JudgeRetriesOptions {
	readonly bounds: RetryAllowance;
	/** Monotonic times at which callers sent their requests, in milliseconds. */
	readonly sentAtMs: readonly number[];
	readonly arrivals: readonly ArrivalRecord[];
}

/** The window with most repeats beyond its bound. */
export interface WorstWindow {
	/** Monotonic time of its end, in milliseconds. */
	readonly endMs: number;
	readonly repeats: number;
	/** Requests of this window, the one before or the one half a window before, whichever has most. */
	readonly requests: number;
	/** Repeats above the bound; negative: below it. */
	readonly excess: number;
}

/** Finds the worst of all windows; undefined where nothing was repeated. */
export function findWorstWindow({bounds, sentAtMs, arrivals}: JudgeRetriesOptions): WorstWindow | undefined {
	const {ratio, allowance, windowMs} = bounds;
	const repeats = listRepeats(arrivals);
	const sent = sentAtMs.toSorted((a, b) => a - b);
	const judge = (endMs: number): WorstWindow => {
		const found = countWithin({sorted: repeats, endMs, windowMs});
		const requests = Math.max(...[0, 0.5, 1].map(windows => countWithin({sorted: sent, endMs: endMs - (windows * windowMs), windowMs})));
		return {
			endMs, repeats: found, requests, excess: found - (ratio * requests) - allowance,
		};
	};

	return listEnds({repeats, windowMs}).map(endMs => judge(endMs)).toSorted((a, b) => b.excess - a.excess)[0];
}

/** A violation when any window exceeds the bound. */
export function judgeRetries(options: JudgeRetriesOptions): readonly Violation[] {
	const worst = findWorstWindow(options);
	return worst && worst.excess > 0
		? [{requestId: '', kind: 'retry-budget', detail: `${worst.repeats} repeats for ${worst.requests} requests in the window to ${Math.round(worst.endMs)} ms, ${worst.excess.toFixed(1)} too many`}]
		: [];
}

/** Times of all arrivals but the first of each request, in their order. */
function listRepeats(arrivals: readonly ArrivalRecord[]): readonly number[] {
	const seen = new Set<string>();
	const repeats: number[] = [];
	for (const {requestId, atMs} of arrivals.toSorted((a, b) => a.atMs - b.atMs)) {
		if (seen.has(requestId)) {
			repeats.push(atMs);
		}

		seen.add(requestId);
	}

	return repeats;
}

function listEnds({repeats, windowMs}: {readonly repeats: readonly number[]; readonly windowMs: number}): readonly number[] {
	const first = repeats[0];
	const last = repeats.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const steps = Math.ceil((last + windowMs - first) / STEP_MS);
	return [...repeats, ...repeats.map(atMs => atMs + windowMs), ...Array.from({length: steps}, (_, step) => first + (step * STEP_MS))];
}

/** Numbers in the window that ends at a time, both ends included. */
function countWithin({sorted, endMs, windowMs}: {readonly sorted: readonly number[]; readonly endMs: number; readonly windowMs: number}): number {
	return countBelow({sorted, isBelow: number => number <= endMs}) - countBelow({sorted, isBelow: number => number < endMs - windowMs});
}

/** How many of sorted numbers hold a condition that holds for a beginning of them. */
function countBelow({sorted, isBelow}: {readonly sorted: readonly number[]; readonly isBelow: (number: number) => boolean}): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isBelow(sorted[middle]!)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
