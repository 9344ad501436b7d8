/** Fault switches, call counters and the rate limiter of the platform stand-in. */

/** Faults that tests switch on and off while the stand-in runs. */
export interface PlatformFaults {
	/** Every connection is closed without a response. */
	outage: boolean;
	/** Delay before each call is handled, in milliseconds. */
	slownessMs: number;
	/** Number of writes whose responses are dropped after the write took effect, counted from the next write. */
	loseNextWriteAnswers: number;
	/** Calls take effect, but no response is ever sent. */
	silent: boolean;
	/** How far the returned instance list lags behind the registered instances, in milliseconds. */
	instanceListLagMs: number;
}

/** A write of a key. */
export interface PlatformWrite {
	readonly method: 'PUT' | 'DELETE';
	readonly key: string;
}

/** Callbacks around each write. The stand-in awaits them before it applies the write or sends the response. */
export interface WriteHooks {
	/** Runs before a write takes effect. */
	before?: (write: PlatformWrite) => Promise<void>;
	/** Runs after the write took effect and before the response is sent. */
	after?: (write: PlatformWrite) => Promise<void>;
}

/** Number of calls, and bytes of their bodies, since the stand-in started. */
export interface PlatformCounters {
	reads: number;
	writes: number;
	watches: number;
	rateLimited: number;
	bytes: number;
}

/** Maximum rates of calls. */
export interface RateLimits {
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
}

const WINDOW_MS = 1000;

/** Limits the rate of calls, counted in fixed windows of one second. */
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

	/** Counts a call. Returns false when the call exceeds the limit of the current window. */
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
