/** Decides for how long a server gets no requests after one of them was rejected or failed. */
import type {SlotEnd} from '@pomelopick/steering.choice';

/** Pauses after a request that the server did not accept, in milliseconds: it was full, or it is leaving. */
const SHED_PAUSE_MS = 20;
const LEAVING_PAUSE_MS = 1000;
/** Initial and maximum pauses after failures, in milliseconds; the pause doubles with each failure in a row. */
const CONNECT_PAUSE_MS = 200;
const FAILURE_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5000;
/** Failures in a row before a server that accepts connections is paused: a single response may be lost in the network. */
const FAILURES_BEFORE_PAUSE = 2;
const MAX_DOUBLINGS = 6;

/** The pauses of one server. */
export class FailurePauses {
	#failuresInRow = 0;
	#untilMs = Number.NEGATIVE_INFINITY;

	/** Whether the server gets no requests for now. */
	isPaused(nowMs: number): boolean {
		return nowMs < this.#untilMs;
	}

	/** Records how a request ended. */
	record({end, nowMs}: {readonly end: SlotEnd; readonly nowMs: number}): void {
		this.#untilMs = Math.max(this.#untilMs, nowMs + this.#countEnd(end));
	}

	/** Counts failures in a row; returns the time for which the server is paused after this end, in milliseconds. */
	#countEnd(end: SlotEnd): number {
		switch (end) {
			case 'answered': {
				this.#failuresInRow = 0;
				return 0;
			}

			case 'shed': {
				return SHED_PAUSE_MS;
			}

			case 'leaving': {
				return LEAVING_PAUSE_MS;
			}

			case 'connect-failed': {
				return this.#countFailure(CONNECT_PAUSE_MS);
			}

			case 'failed': {
				const pauseMs = this.#countFailure(FAILURE_PAUSE_MS);
				return this.#failuresInRow < FAILURES_BEFORE_PAUSE ? 0 : pauseMs;
			}

			case 'timed-out':
			case 'cancelled': {
				return 0;
			}
		}
	}

	/** Counts a failure; returns the pause after it, in milliseconds, doubled for each one before it. */
	#countFailure(firstMs: number): number {
		const pauseMs = firstMs * (2 ** Math.min(MAX_DOUBLINGS, this.#failuresInRow));
		this.#failuresInRow += 1;
		return Math.min(MAX_PAUSE_MS, pauseMs);
	}
}
