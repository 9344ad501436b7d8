/** Detects from late timer ticks that the process was stalled, for example because it got no processor time. */

/** Lateness of a tick from which it counts as a stall, in milliseconds. */
const STALL_MS = 300;
/** Time after a stall during which the outcomes of calls to other instances are ignored, in milliseconds. */
const GRACE_MS = 2000;

/** Detects stalls from the times of a periodic tick. */
export class StallDetector {
	readonly #intervalMs: number;
	#lastTickMs = 0;
	#graceUntilMs = 0;

	/** `intervalMs` is the time between two ticks, in milliseconds. */
	constructor({intervalMs}: {readonly intervalMs: number}) {
		this.#intervalMs = intervalMs;
	}

	/** Starts at a monotonic time, in milliseconds. */
	start(nowMs: number): void {
		this.#lastTickMs = nowMs;
	}

	/** Records a tick; returns whether the process was stalled before it. */
	tick(nowMs: number): boolean {
		const wasStalled = nowMs - this.#lastTickMs > this.#intervalMs + STALL_MS;
		this.#lastTickMs = nowMs;
		if (wasStalled) {
			this.#graceUntilMs = nowMs + GRACE_MS;
		}

		return wasStalled;
	}

	/** Whether a stall is so recent that missing responses are to be ignored. */
	isRecent(nowMs: number): boolean {
		return nowMs < this.#graceUntilMs;
	}
}
