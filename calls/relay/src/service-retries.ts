/** Further sends of one service at this instance: credit that requests have earned, and a claimed part of the allowance. */
import {RetryGrant, RetryWindow} from '@pomelopick/steering.limits';
import type {RetryGrantOptions, RetryWindowOptions} from '@pomelopick/steering.limits';
import type {RetryPermit} from './retry-permit.js';

/** State of one service. */
export class ServiceRetries {
	readonly window: RetryWindow;
	/** Further sends that were allowed and refused since the last log line. */
	taken = 0;
	refused = 0;
	/** Monotonic time of the last log line, in milliseconds. */
	lineAtMs = Number.NEGATIVE_INFINITY;
	/** A claim under way. */
	claiming: Promise<void> | undefined;
	/** Monotonic time before which no claim is made, in milliseconds. */
	claimAfterMs = Number.NEGATIVE_INFINITY;
	readonly #now: () => number;
	#grant: RetryGrant | undefined;

	/** `now` reads a monotonic time in milliseconds. */
	constructor({windowMs, now}: {readonly windowMs: number; readonly now: () => number}) {
		this.window = new RetryWindow({windowMs});
		this.#now = now;
	}

	/** A permit out of the credit. */
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

	/** A permit out of the claimed part. */
	tryTakeGrant(nowMs: number): RetryPermit | undefined {
		const grant = this.#grant;
		if (!grant?.tryTake(nowMs)) {
			return undefined;
		}

		return {
			end() {/* A part is used up by its number alone. */},
			giveBack() {
				grant.giveBack();
			},
		};
	}

	/** Further sends that the claimed part still allows. */
	granted(nowMs: number): number {
		return this.#grant?.left(nowMs) ?? 0;
	}

	/** Takes a claimed part into use; what was left of the one before is dropped. */
	useGrant(options: RetryGrantOptions): void {
		this.#grant = new RetryGrant(options);
	}

	/** Forgets what requests have earned and the claimed part, but not what was sent. */
	forgetCredit(): void {
		this.window.forgetRequests();
		this.#grant = undefined;
	}
}
