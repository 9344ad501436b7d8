/** Opens a shift step by step and closes it by itself when its target gets worse. */

const WINDOW_MS = 1000;
const MIN_CALLS = 5;
const MAX_FAILURE_SHARE = 0.1;
const SLOWDOWN_FACTOR = 3;
const BAD_WINDOWS_TO_ABORT = 2;
const CLOSED_AFTER_ABORT_MS = 30_000;
/** Part of the cap that a ramp starts with, so that its first calls can prove the target. */
const INITIAL_SHARE = 0.05;

/** Options of {@link ShiftGuard}. */
export interface ShiftGuardOptions {
	readonly rampMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Called when the guard closes the shift. */
	readonly onAbort: (detail: string) => void;
}

/** One end of a shifted call. */
export interface ShiftedCallEnd {
	readonly isGood: boolean;
	readonly heldMs: number;
	readonly nowMs: number;
}

/** Guards one shift. */
export class ShiftGuard {
	readonly #options: ShiftGuardOptions;
	#rampStartMs: number;
	#windowStartMs: number;
	#calls = 0;
	#failures = 0;
	#heldMs = 0;
	#badWindows = 0;
	/** Lowest mean of a window so far, in milliseconds. */
	#bestMeanMs = Number.POSITIVE_INFINITY;

	constructor(options: ShiftGuardOptions) {
		this.#options = options;
		this.#rampStartMs = options.nowMs;
		this.#windowStartMs = options.nowMs;
	}

	/** Part of the cap that is open, from 0 to 1. */
	share(nowMs: number): number {
		const sinceMs = nowMs - this.#rampStartMs;
		if (sinceMs < 0) {
			return 0;
		}

		return this.#options.rampMs === 0 ? 1 : Math.min(1, INITIAL_SHARE + (sinceMs / this.#options.rampMs));
	}

	/** Learns from the end of a shifted call. */
	recordUse({isGood, heldMs, nowMs}: ShiftedCallEnd): void {
		this.#calls += 1;
		this.#failures += isGood ? 0 : 1;
		this.#heldMs += heldMs;
		if (nowMs - this.#windowStartMs >= WINDOW_MS && this.#calls >= MIN_CALLS) {
			this.#evaluateWindow(nowMs);
		}
	}

	#evaluateWindow(nowMs: number): void {
		const badShare = this.#failures / this.#calls;
		const meanMs = this.#heldMs / this.#calls;
		const isSlow = meanMs > this.#bestMeanMs * SLOWDOWN_FACTOR;
		this.#bestMeanMs = Math.min(this.#bestMeanMs, meanMs);
		this.#badWindows = badShare > MAX_FAILURE_SHARE || isSlow ? this.#badWindows + 1 : 0;
		this.#windowStartMs = nowMs;
		this.#calls = 0;
		this.#failures = 0;
		this.#heldMs = 0;
		if (this.#badWindows >= BAD_WINDOWS_TO_ABORT) {
			this.#badWindows = 0;
			this.#rampStartMs = nowMs + CLOSED_AFTER_ABORT_MS;
			this.#options.onAbort(`${Math.round(badShare * 100)} % of calls ended badly, ${Math.round(meanMs)} ms each`);
		}
	}
}
