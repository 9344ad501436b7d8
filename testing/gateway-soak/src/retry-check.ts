/** Checks repeated arrivals of requests at servers against a retry budget over sliding windows. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import type {Violation} from './call-check.js';

/** Distance between the windows that are checked in addition to those that start or end at a repeat, in milliseconds. */
const STEP_MS = 50;

/** A retry budget. */
export interface RetryAllowance {
	/** Allowed repeats per request. */
	readonly ratio: number;
	/** Repeats allowed in a window in addition to the ratio. */
	readonly allowance: number;
	readonly windowMs: number;
}

/** Options of {@link checkRetries}. */
export interface CheckRetriesOptions {
	readonly bounds: RetryAllowance;
	/** Monotonic times at which callers sent their requests, in milliseconds. */
	readonly sentAtMs: readonly number[];
	readonly arrivals: readonly ArrivalRecord[];
}

/** The window that exceeds its bound by the largest number of repeats. */
export interface WorstWindow {
	/** Monotonic time of its end, in milliseconds. */
	readonly endMs: number;
	readonly repeats: number;
	/** Maximum of the requests in this window, in the previous window and in the window half a window earlier. */
	readonly requests: number;
	/** Repeats above the bound, negative if below it. */
	readonly excess: number;
}

/** Returns the window that exceeds its bound the most, or undefined if nothing was repeated. */
export function findWorstWindow({bounds, sentAtMs, arrivals}: CheckRetriesOptions): WorstWindow | undefined {
	const {ratio, allowance, windowMs} = bounds;
	const repeats = listRepeats(arrivals);
	const sent = sentAtMs.toSorted((a, b) => a - b);
	const measureWindow = (endMs: number): WorstWindow => {
		const repeatCount = countWithin({sorted: repeats, endMs, windowMs});
		const requests = Math.max(...[0, 0.5, 1].map(windows => countWithin({sorted: sent, endMs: endMs - (windows * windowMs), windowMs})));
		return {
			endMs, repeats: repeatCount, requests, excess: repeatCount - (ratio * requests) - allowance,
		};
	};

	return listWindowEnds({repeats, windowMs}).map(endMs => measureWindow(endMs)).toSorted((a, b) => b.excess - a.excess)[0];
}

/** Returns a violation if any window exceeds its bound. */
export function checkRetries(options: CheckRetriesOptions): readonly Violation[] {
	const worst = findWorstWindow(options);
	return worst && worst.excess > 0
		? [{
			requestId: '',
			kind: 'retry-budget',
			detail: `${worst.repeats} repeats for ${worst.requests} requests in the window that ends at ${Math.round(worst.endMs)} ms, ${worst.excess.toFixed(1)} too many`,
		}]
		: [];
}

/** Returns the times of all arrivals except the first one of each request, in ascending order. */
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

function listWindowEnds({repeats, windowMs}: {readonly repeats: readonly number[]; readonly windowMs: number}): readonly number[] {
	const first = repeats[0];
	const last = repeats.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const steps = Math.ceil((last + windowMs - first) / STEP_MS);
	return [...repeats, ...repeats.map(atMs => atMs + windowMs), ...Array.from({length: steps}, (_, step) => first + (step * STEP_MS))];
}

/** Counts the numbers in the window that ends at a time, both ends included. */
function countWithin({sorted, endMs, windowMs}: {readonly sorted: readonly number[]; readonly endMs: number; readonly windowMs: number}): number {
	return countPrefix({sorted, isInPrefix: number => number <= endMs}) - countPrefix({sorted, isInPrefix: number => number < endMs - windowMs});
}

/** Counts by binary search the sorted numbers that meet a condition, which must hold exactly for a prefix of them. */
function countPrefix({sorted, isInPrefix}: {readonly sorted: readonly number[]; readonly isInPrefix: (number: number) => boolean}): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isInPrefix(sorted[middle]!)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
