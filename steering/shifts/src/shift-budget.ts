/** Share of a shift's cap that this instance may use. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ShiftGrant} from './shift-ledger.js';

/** Longest time from asking for admission to sending the call, in milliseconds; later answers are not used. */
export const SHIFT_ANSWER_LIMIT_MS = 400;
/** Window in which calls are counted against a grant, in milliseconds: one second, and the time for which a call may be held up on its way. */
export const SHIFT_WINDOW_MS = 1500;

/** Why a call may not go under a shift. */
export type ShiftRefusal = 'shift-cap-reached' | 'grant-expired';

/** Options of {@link ShiftBudget.tryAdmit}. */
export interface TryAdmitOptions {
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Cap in force, in calls per second. */
	readonly capCallsPerSecond: number;
	/** Part of the cap that the ramp opens, from 0 to 1. */
	readonly rampShare: number;
}

/** Counts the calls of the last window; never lets more through than the grant allows in any window. */
export class ShiftBudget {
	#grant: ShiftGrant | undefined;
	#expiresAtMs = Number.NEGATIVE_INFINITY;
	/** Limit that a grant being given back still allows. */
	#mostCallsPerSecond = Number.POSITIVE_INFINITY;
	#admittedAtMs: number[] = [];

	/** Calls that were admitted in the last window. */
	recentCalls(nowMs: number): number {
		this.#forget(nowMs);
		return this.#admittedAtMs.length;
	}

	/** Calls per second granted. */
	get callsPerSecond(): number {
		return this.#grant?.callsPerSecond ?? 0;
	}

	/** Takes a grant that the store has confirmed; its time counts from before it was asked for. */
	useGrant({grant, askedAtMs}: {readonly grant: ShiftGrant | undefined; readonly askedAtMs: number}): void {
		this.#grant = grant;
		this.#expiresAtMs = askedAtMs + (grant?.durationMs ?? 0);
		this.#mostCallsPerSecond = Number.POSITIVE_INFINITY;
	}

	/** Uses no more than this from now on, one window before the rest is given back. */
	shrinkTo(callsPerSecond: number): void {
		this.#mostCallsPerSecond = Math.min(this.#mostCallsPerSecond, callsPerSecond);
	}

	/** Admits one call, or says why not. */
	tryAdmit({nowMs, capCallsPerSecond, rampShare}: TryAdmitOptions): Either<ShiftRefusal, void> {
		if (!this.#grant || nowMs >= this.#expiresAtMs) {
			return Left('grant-expired');
		}

		const granted = Math.min(this.#grant.callsPerSecond, this.#mostCallsPerSecond);
		const limit = Math.floor(granted * Math.min(1, capCallsPerSecond / this.#grant.ofCap) * rampShare);
		this.#forget(nowMs);
		if (this.#admittedAtMs.length >= limit) {
			return Left('shift-cap-reached');
		}

		this.#admittedAtMs.push(nowMs);
		return Right(undefined);
	}

	#forget(nowMs: number): void {
		const kept = this.#admittedAtMs.findIndex(atMs => nowMs - atMs < SHIFT_WINDOW_MS);
		this.#admittedAtMs = kept === -1 ? [] : this.#admittedAtMs.slice(kept);
	}
}
