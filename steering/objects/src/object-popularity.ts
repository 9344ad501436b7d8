/** Estimates which objects are requested most, from the requests of this instance. */

/** Time constant of the counts, in milliseconds. */
const DECAY_MS = 30_000;
/** Counts are scaled down when the weight of a new request has grown to this. */
const MAX_WEIGHT = 1e6;
/** Minimum number of requests that shares are based on, so that after a start no object has a large share by chance. */
const MIN_REQUESTS = 300;
/** Maximum number of objects that are counted, and the decayed count below which an object is dropped then. */
const MAX_OBJECTS = 4096;
const MIN_COUNT = 0.2;

/** Decayed counts of the requests for each object. */
export class ObjectPopularity {
	readonly #counts = new Map<string, number>();
	#total = 0;
	/** Monotonic time at which a request has the weight 1, in milliseconds; later requests weigh more, instead of earlier ones less. */
	#originMs: number | undefined;

	/** Counts a request for an object; returns the share of the requests before that were for it, from 0 to 1. */
	record({object, nowMs}: {readonly object: string; readonly nowMs: number}): number {
		this.#originMs ??= nowMs;
		let weight = Math.exp((nowMs - this.#originMs) / DECAY_MS);
		if (weight > MAX_WEIGHT || this.#counts.size >= MAX_OBJECTS) {
			this.#rescale(weight);
			this.#originMs = nowMs;
			weight = 1;
		}

		const count = (this.#counts.get(object) ?? 0) + weight;
		this.#counts.set(object, count);
		this.#total += weight;
		return (count - weight) / Math.max(weight * MIN_REQUESTS, this.#total);
	}

	/** Divides all counts by a weight and drops the objects that are hardly requested. */
	#rescale(weight: number): void {
		for (const [object, count] of this.#counts) {
			if (count / weight < MIN_COUNT) {
				this.#counts.delete(object);
			} else {
				this.#counts.set(object, count / weight);
			}
		}

		this.#total /= weight;
	}
}
