/** Estimates how many permits an instance needs for an organisation. */

/** Time for whose requests permits are asked for, in milliseconds: less than {@link PERMIT_VALID_MS}, so that few expire. */
const DEMAND_MS = 400;
/** Time constant of the estimate, in milliseconds. */
const AVERAGING_MS = 1000;
/** Maximum number of permits in one request: several intervals of the usual load of one instance. */
export const MAX_PERMITS = 64;

/** Requests of one organisation at this instance, as an exponentially decaying average. */
export class PermitDemand {
	/** Requests per millisecond at the last request. */
	#rate = 0;
	#atMs = Number.NEGATIVE_INFINITY;

	/** Records a request. */
	record(nowMs: number): void {
		this.#rate = this.#rateAt(nowMs) + (1 / AVERAGING_MS);
		this.#atMs = nowMs;
	}

	/** Number of permits to ask for when some requests wait: at least as many, at most {@link MAX_PERMITS}. */
	permits({waiting, nowMs}: {readonly waiting: number; readonly nowMs: number}): number {
		return Math.min(MAX_PERMITS, Math.max(waiting, Math.floor(this.#rateAt(nowMs) * DEMAND_MS)));
	}

	#rateAt(nowMs: number): number {
		return this.#rate * Math.exp((this.#atMs - nowMs) / AVERAGING_MS);
	}
}
