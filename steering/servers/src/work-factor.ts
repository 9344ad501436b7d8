/** The work factor of a backend server, from its load reports: the time that work takes at the moment as a multiple of the usual time. */

/**
 * Time constant of a report, in milliseconds: after this time a third of its deviation from 1 is left. A
 * slow phase of a server lasts some hundred milliseconds, so that an older report says little about the present.
 */
const DECAY_MS = 300;

/** Keeps the last report of one server. */
export class MomentaryWorkFactor {
	#reported = 1;
	#reportedAtMs = Number.NEGATIVE_INFINITY;

	/** Whether the server has ever reported a work factor. */
	get isReported(): boolean {
		return this.#reportedAtMs !== Number.NEGATIVE_INFINITY;
	}

	/** Applies a report, unless a newer one is known. */
	record({factor, nowMs}: {readonly factor: number; readonly nowMs: number}): void {
		if (nowMs < this.#reportedAtMs) {
			return;
		}

		this.#reported = factor;
		this.#reportedAtMs = nowMs;
	}

	/** Expected time of work as a multiple of the usual time; 1 without a recent report. */
	at(nowMs: number): number {
		return this.isReported ? 1 + ((this.#reported - 1) * Math.exp((this.#reportedAtMs - nowMs) / DECAY_MS)) : 1;
	}
}
