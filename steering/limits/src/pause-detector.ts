/** Detects that the process was suspended, also on systems whose monotonic clock stops during a suspension. */

/** Minimum difference of the clocks that is taken as a pause, in milliseconds. */
const MIN_PAUSE_MS = 250;

/** Simultaneous readings of both clocks, in milliseconds. */
export interface ClockReadings {
	readonly monotonicMs: number;
	readonly wallClockMs: number;
}

/** Compares the time that passed between two checks on the wall clock and on the monotonic clock. */
export class PauseDetector {
	#last: ClockReadings;

	constructor(readings: ClockReadings) {
		this.#last = readings;
	}

	/** Time by which the wall clock ran ahead since the last check, in milliseconds; 0 if it is too short for a pause. A wall clock that is set forward is reported as a pause. */
	check(readings: ClockReadings): number {
		const aheadMs = (readings.wallClockMs - this.#last.wallClockMs) - (readings.monotonicMs - this.#last.monotonicMs);
		this.#last = readings;
		return aheadMs >= MIN_PAUSE_MS ? aheadMs : 0;
	}
}
