/** Tells by the times of its own ticks that the process stood still or had no processor time. */

/** A tick that comes this much late shows a standstill, in milliseconds. */
const STANDSTILL_MS = 300;
/** Time after a standstill in which what the process saw of others is not counted, in milliseconds. */
const GRACE_MS = 2000;

/** Watches the ticks. */
export class Standstill {
	readonly #intervalMs: number;
	#lastTickMs = 0;
	#graceUntilMs = 0;

	/** `intervalMs` is the time between two ticks, in milliseconds. */
	constructor({intervalMs}: {readonly intervalMs: number}) {
		this.#intervalMs = intervalMs;
	}

	/** Starts to watch at a monotonic time, in milliseconds. */
	start(nowMs: number): void {
		this.#lastTickMs = nowMs;
	}

	/** Notes a tick; answers whether the process had stood still. */
	tick(nowMs: number): boolean {
		const stoodStill = nowMs - this.#lastTickMs > this.#intervalMs + STANDSTILL_MS;
		this.#lastTickMs = nowMs;
		if (stoodStill) {
			this.#graceUntilMs = nowMs + GRACE_MS;
		}

		return stoodStill;
	}

	/** Whether a standstill is so recent that nothing is concluded from answers that did not come. */
	isRecent(nowMs: number): boolean {
		return nowMs < this.#graceUntilMs;
	}
}
