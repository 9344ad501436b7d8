/**
 * Selects the requests that are let through although an estimate speaks against them. Estimates change only with
 * responses: without these requests, a server that was slow once would get none of them again.
 */

/** One of this number of refusable requests is let through: at most a twentieth of the capacity is spent on them. */
const REFUSABLE_PER_PROBE = 20;
/** Time without a request that was let through after which the next one is, in milliseconds: an estimate of that age is doubtful. */
const MAX_PAUSE_MS = 2000;

/** Options of {@link ProbeSchedule}. */
export interface ProbeScheduleOptions {
	/** Number of refusable requests of which one is let through; 20 by default. */
	readonly refusablePerProbe?: number;
}

/** Selects probes among the requests of one kind. */
export class ProbeSchedule {
	readonly #refusablePerProbe: number;
	#refused = 0;
	#lastPassedAtMs = Number.NEGATIVE_INFINITY;

	constructor({refusablePerProbe = REFUSABLE_PER_PROBE}: ProbeScheduleOptions = {}) {
		this.#refusablePerProbe = refusablePerProbe;
	}

	/** Records a request that no estimate speaks against. */
	recordPassed(nowMs: number): void {
		this.#lastPassedAtMs = nowMs;
		this.#refused = 0;
	}

	/** Whether a request that an estimate speaks against is let through. */
	tryPass(nowMs: number): boolean {
		const isDue = this.#refused + 1 >= this.#refusablePerProbe || nowMs - this.#lastPassedAtMs >= MAX_PAUSE_MS;
		if (isDue) {
			this.recordPassed(nowMs);
		} else {
			this.#refused += 1;
		}

		return isDue;
	}
}
