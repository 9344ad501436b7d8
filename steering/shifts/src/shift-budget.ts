/** Share of a shift's cap that this instance may use. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {allowedUnder} from './shift-ledger.js';
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

/** Options of {@link ShiftBudget.mayStore}. */
export interface MayStoreOptions {
	/** Grant that is about to be written; undefined when none is left to the holder. */
	readonly grant: ShiftGrant | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Counts the calls of the last window; never lets more through than the grant allows in any window. */
export class ShiftBudget {
	#grant: ShiftGrant | undefined;
	#expiresAtMs = Number.NEGATIVE_INFINITY;
	/** Grants that the store may hold instead, of which it is not known whether they were written. */
	#pendingGrants: ShiftGrant[] = [];
	/** Whether the store may hold no grant for this instance. */
	#mayHaveNone = false;
	#admittedAtMs: number[] = [];

	/** Calls that were admitted in the last window. */
	recentCalls(nowMs: number): number {
		this.#forgetOld(nowMs);
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
		this.#pendingGrants = [];
		this.#mayHaveNone = false;
	}

	/**
	 * Keeps to a grant that is about to be written, besides the one in use, until one is confirmed.
	 *
	 * @returns False while the calls of the last window are more than it allows: others could use the difference at once.
	 */
	mayStore({grant, nowMs}: MayStoreOptions): boolean {
		this.#mayHaveNone ||= grant === undefined;
		if (grant && !this.#pendingGrants.some(known => isAtLeastAsStrict({known, grant}))) {
			this.#pendingGrants.push(grant);
		}

		return this.recentCalls(nowMs) <= (grant?.callsPerSecond ?? 0);
	}

	/** Admits one call, or says why not. */
	tryAdmit({nowMs, capCallsPerSecond, rampShare}: TryAdmitOptions): Either<ShiftRefusal, void> {
		if (!this.#grant || nowMs >= this.#expiresAtMs) {
			return Left('grant-expired');
		}

		const bounds = [this.#grant, ...this.#pendingGrants].map(grant => allowedUnder({grant, capCallsPerSecond}));
		const limit = this.#mayHaveNone ? 0 : Math.floor(Math.min(...bounds) * rampShare);
		this.#forgetOld(nowMs);
		if (this.#admittedAtMs.length >= limit) {
			return Left('shift-cap-reached');
		}

		this.#admittedAtMs.push(nowMs);
		return Right(undefined);
	}

	#forgetOld(nowMs: number): void {
		const kept = this.#admittedAtMs.findIndex(atMs => nowMs - atMs < SHIFT_WINDOW_MS);
		this.#admittedAtMs = kept === -1 ? [] : this.#admittedAtMs.slice(kept);
	}
}

function isAtLeastAsStrict({known, grant}: {readonly known: ShiftGrant; readonly grant: ShiftGrant}): boolean {
	return known.callsPerSecond <= grant.callsPerSecond && known.othersCallsPerSecond >= grant.othersCallsPerSecond;
}
