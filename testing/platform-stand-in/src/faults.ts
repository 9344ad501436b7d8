/** Faults that tests switch on, and the counters of calls. */

/** Switches of the stand-in. */
export interface PlatformFaults {
	/** Every connection is closed without an answer. */
	outage: boolean;
	/** Added to every answer, in milliseconds. */
	slownessMs: number;
	/** Answers of the next writes to drop after they took effect. */
	loseNextWriteAnswers: number;
	/** Answers are held back for good. */
	silent: boolean;
	/** Age of the instance list, in milliseconds. */
	instanceListLagMs: number;
}

/** A write of a key. */
export interface PlatformWrite {
	readonly method: 'PUT' | 'DELETE';
	readonly key: string;
}

/** What a test does around writes; the write, or its answer, waits for it. */
export interface WriteHooks {
	/** Before a write takes effect. */
	before?: (write: PlatformWrite) => Promise<void>;
	/** After it took effect and before it is answered. */
	after?: (write: PlatformWrite) => Promise<void>;
}

/** Calls served since the start. */
export interface PlatformCounters {
	reads: number;
	writes: number;
	watches: number;
	rateLimited: number;
	bytes: number;
}

/** Calls per second allowed. */
export interface RateLimits {
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
}

const WINDOW_MS = 1000;

/** Refuses calls above a rate, counted in windows of one second. */
export class RateLimiter {
	readonly #limits: RateLimits;
	readonly #now: () => number;
	#windowStartMs = 0;
	#reads = 0;
	#writes = 0;

	constructor({limits, now}: {readonly limits: RateLimits; readonly now: () => number}) {
		this.#limits = limits;
		this.#now = now;
	}

	/** Counts a call; false when it is above the rate. */
	tryCount(kind: 'read' | 'write'): boolean {
		const nowMs = this.#now();
		if (nowMs - this.#windowStartMs >= WINDOW_MS) {
			this.#windowStartMs = nowMs;
			this.#reads = 0;
			this.#writes = 0;
		}

		if (kind === 'read') {
			this.#reads += 1;
			return this.#reads <= this.#limits.readsPerSecond;
		}

		this.#writes += 1;
		return this.#writes <= this.#limits.writesPerSecond;
	}
}
