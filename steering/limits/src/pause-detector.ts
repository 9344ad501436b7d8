/** Tells that the process was suspended, also where the monotonic clock stands still meanwhile. */

/** Difference of the clocks from which on a pause is assumed, in milliseconds. */
const MIN_PAUSE_MS = 250;

/** Readings of both clocks at one moment, in milliseconds. */
export interface ClockReadings {
	readonly monotonicMs: number;
	readonly wallClockMs: number;
}

/** Compares what two clocks say of the time between two looks. */
export class PauseDetector {
	#last: ClockReadings;

	constructor(readings: ClockReadings) {
		this.#last = readings;
	}

	/** Time by which the wall clock ran ahead since the last look, in milliseconds; 0 where that is no pause. A wall clock that is set forward looks like one. */
	check(readings: ClockReadings): number {
		const ahead = (readings.wallClockMs - this.#last.wallClockMs) - (readings.monotonicMs - this.#last.monotonicMs);
		this.#last = readings;
		return ahead >= MIN_PAUSE_MS ? ahead : 0;
	}
}
