/** Ramps up a shift, and aborts it when calls to its target fail or get slower. */

/** Minimum length of a window and minimum number of calls in it before it is evaluated. */
const WINDOW_MS = 1000;
const MIN_CALLS = 5;
/** Share of failed calls above which a window is bad. */
const MAX_FAILURE_SHARE = 0.1;
/** Multiple of the lowest mean duration of an earlier window above which a window is bad. */
const SLOWDOWN_FACTOR = 3;
/** Bad windows in a row after which the shift is aborted. */
const BAD_WINDOWS_TO_ABORT = 2;
/** Time for which the shift stays closed after an abort, in milliseconds; then the ramp starts again. */
const CLOSED_AFTER_ABORT_MS = 30_000;
/** Share of the cap with which a ramp starts, so that its first calls can show whether the target works. */
const INITIAL_SHARE = 0.05;

/** Options of {@link ShiftGuard}. */
export interface ShiftGuardOptions {
	/** Time over which the cap is opened, in milliseconds. */
	readonly rampMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Called when the guard aborts the shift. */
	readonly onAbort: (detail: string) => void;
}

/** The end of a call that was sent under the shift. */
export interface ShiftedCallEnd {
	readonly isGood: boolean;
	/** Duration of the call, in milliseconds. */
	readonly heldMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Controls the open share of one shift. */
export class ShiftGuard {
	readonly #options: ShiftGuardOptions;
	#rampStartMs: number;
	#windowStartMs: number;
	#calls = 0;
	#failures = 0;
	#totalMs = 0;
	#badWindows = 0;
	/** Lowest mean duration of a window so far, in milliseconds. */
	#lowestMeanMs = Number.POSITIVE_INFINITY;

	constructor(options: ShiftGuardOptions) {
		this.#options = options;
		this.#rampStartMs = options.nowMs;
		this.#windowStartMs = options.nowMs;
	}

	/** Share of the cap that is open, from 0 to 1. */
	share(nowMs: number): number {
		const sinceMs = nowMs - this.#rampStartMs;
		if (sinceMs < 0) {
			return 0;
		}

		return this.#options.rampMs === 0 ? 1 : Math.min(1, INITIAL_SHARE + (sinceMs / this.#options.rampMs));
	}

	/** Records the end of a call that was sent under the shift. */
	recordUse({isGood, heldMs, nowMs}: ShiftedCallEnd): void {
		this.#calls += 1;
		this.#failures += isGood ? 0 : 1;
		this.#totalMs += heldMs;
		if (nowMs - this.#windowStartMs >= WINDOW_MS && this.#calls >= MIN_CALLS) {
			this.#evaluateWindow(nowMs);
		}
	}

	#evaluateWindow(nowMs: number): void {
		const failureShare = this.#failures / this.#calls;
		const meanMs = this.#totalMs / this.#calls;
		const isSlow = meanMs > this.#lowestMeanMs * SLOWDOWN_FACTOR;
		this.#lowestMeanMs = Math.min(this.#lowestMeanMs, meanMs);
		this.#badWindows = failureShare > MAX_FAILURE_SHARE || isSlow ? this.#badWindows + 1 : 0;
		this.#windowStartMs = nowMs;
		this.#calls = 0;
		this.#failures = 0;
		this.#totalMs = 0;
		if (this.#badWindows >= BAD_WINDOWS_TO_ABORT) {
			this.#badWindows = 0;
			this.#rampStartMs = nowMs + CLOSED_AFTER_ABORT_MS;
			this.#options.onAbort(`${Math.round(failureShare * 100)} % of the calls in the last window failed, their mean duration was ${Math.round(meanMs)} ms`);
		}
	}
}
