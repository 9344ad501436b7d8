/** Opens a shift step by step and closes it by itself when its target gets worse. */

const WINDOW_MS = 1000;
const LEAST_CALLS = 5;
const MOST_BAD_SHARE = 0.1;
const SLOWDOWN_FACTOR = 3;
const BAD_WINDOWS_TO_ABORT = 2;
const CLOSED_MS = 30_000;
/** Part of the cap that a ramp starts with, so that its first calls can prove the target. */
const FIRST_SHARE = 0.05;

/** Options of {@link ShiftGuard}. */
export interface ShiftGuardOptions {
	readonly rampMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Called when the guard closes the shift. */
	readonly onAbort: (detail: string) => void;
}

/** One end of a shifted call. */
export interface ShiftedEnd {
	readonly isGood: boolean;
	readonly heldMs: number;
	readonly nowMs: number;
}

/** Guards one shift. */
export class ShiftGuard {
	readonly #options: ShiftGuardOptions;
	#rampsFromMs: number;
	#windowStartMs: number;
	#calls = 0;
	#bad = 0;
	#heldMs = 0;
	#badWindows = 0;
	/** Lowest mean of a window so far, in milliseconds. */
	#bestMeanMs = Number.POSITIVE_INFINITY;

	constructor(options: ShiftGuardOptions) {
		this.#options = options;
		this.#rampsFromMs = options.nowMs;
		this.#windowStartMs = options.nowMs;
	}

	/** Part of the cap that is open, from 0 to 1. */
	share(nowMs: number): number {
		const sinceMs = nowMs - this.#rampsFromMs;
		if (sinceMs < 0) {
			return 0;
		}

		return this.#options.rampMs === 0 ? 1 : Math.min(1, FIRST_SHARE + (sinceMs / this.#options.rampMs));
	}

	/** Learns from the end of a shifted call. */
	recordUse({isGood, heldMs, nowMs}: ShiftedEnd): void {
		this.#calls += 1;
		this.#bad += isGood ? 0 : 1;
		this.#heldMs += heldMs;
		if (nowMs - this.#windowStartMs >= WINDOW_MS && this.#calls >= LEAST_CALLS) {
			this.#judge(nowMs);
		}
	}

	#judge(nowMs: number): void {
		const badShare = this.#bad / this.#calls;
		const meanMs = this.#heldMs / this.#calls;
		const isSlow = meanMs > this.#bestMeanMs * SLOWDOWN_FACTOR;
		this.#bestMeanMs = Math.min(this.#bestMeanMs, meanMs);
		this.#badWindows = badShare > MOST_BAD_SHARE || isSlow ? this.#badWindows + 1 : 0;
		this.#windowStartMs = nowMs;
		this.#calls = 0;
		this.#bad = 0;
		this.#heldMs = 0;
		if (this.#badWindows >= BAD_WINDOWS_TO_ABORT) {
			this.#badWindows = 0;
			this.#rampsFromMs = nowMs + CLOSED_MS;
			this.#options.onAbort(`${Math.round(badShare * 100)} % of calls ended badly, ${Math.round(meanMs)} ms each`);
		}
	}
}
