/** Retry budget of one service at this instance: credit earned by its requests, and a claimed part of the retry allowance. */
import {RetryGrant, RetryWindow} from '@pomelopick/steering.limits';
import type {RetryGrantOptions, RetryWindowOptions} from '@pomelopick/steering.limits';
import type {RetryPermit} from './retry-permit.js';

/** Retry budget of one service. */
export class ServiceRetries {
	readonly window: RetryWindow;
	/** Numbers of retries that were allowed and refused since the last log line. */
	taken = 0;
	refused = 0;
	/** Monotonic time of the last log line, in milliseconds. */
	lastLineAtMs = Number.NEGATIVE_INFINITY;
	/** Claim of a part of the allowance that is in progress. */
	claimInProgress: Promise<void> | undefined;
	/** Monotonic time before which no claim is made, in milliseconds. */
	claimAfterMs = Number.NEGATIVE_INFINITY;
	readonly #now: () => number;
	#grant: RetryGrant | undefined;

	/** `now` reads a monotonic time in milliseconds. */
	constructor({windowMs, now}: {readonly windowMs: number; readonly now: () => number}) {
		this.window = new RetryWindow({windowMs});
		this.#now = now;
	}

	/** Takes a permit from the credit; undefined if there is none. */
	tryTakeCredit(options: RetryWindowOptions): RetryPermit | undefined {
		const {window} = this;
		if (!window.tryTake(options)) {
			return undefined;
		}

		return {
			end: () => {
				window.recordEnd(this.#now());
			},
			giveBack() {
				window.giveBack();
			},
		};
	}

	/** Takes a permit from the claimed part; undefined if there is none. */
	tryTakeGrant(nowMs: number): RetryPermit | undefined {
		const grant = this.#grant;
		if (!grant?.tryTake(nowMs)) {
			return undefined;
		}

		return {
			end() {/* A part is used up by the number of permits taken, whenever their sends end. */},
			giveBack() {
				grant.giveBack();
			},
		};
	}

	/** Returns the number of retries that the claimed part still allows. */
	granted(nowMs: number): number {
		return this.#grant?.left(nowMs) ?? 0;
	}

	/** Starts to use a claimed part. The rest of the previous part is dropped. */
	useGrant(options: RetryGrantOptions): void {
		this.#grant = new RetryGrant(options);
	}

	/** Drops the credit earned by requests and the claimed part, but keeps the record of retries that were sent. */
	forgetCredit(): void {
		this.window.forgetRequests();
		this.#grant = undefined;
	}
}
