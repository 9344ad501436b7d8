/** Limits this instance's calls under a shift to its granted share of the shift's cap. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {allowedUnder} from './shift-ledger.js';
import type {ShiftGrant} from './shift-ledger.js';

/** Maximum time from the request for admission to sending the call, in milliseconds; a later response is not used. */
export const SHIFT_ADMISSION_TIMEOUT_MS = 400;
/** Window in which calls count against a grant, in milliseconds: one second plus the time for which a call may be delayed in the network. */
export const SHIFT_WINDOW_MS = 1500;

/** Why a call was not admitted under a shift. */
export type ShiftRefusal = 'shift-cap-reached' | 'grant-expired';

/** Options of {@link ShiftBudget.tryAdmit}. */
export interface TryAdmitOptions {
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Cap of the active configuration, in calls per second. */
	readonly capCallsPerSecond: number;
	/** Share of the cap that the ramp allows now, from 0 to 1. */
	readonly rampShare: number;
}

/** Options of {@link ShiftBudget.mayStore}. */
export interface MayStoreOptions {
	/** Grant that is about to be written to the store; undefined when the write leaves the holder without a grant. */
	readonly grant: ShiftGrant | undefined;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Counts the calls in the last window; never admits more calls in any window than the grant allows. */
export class ShiftBudget {
	#grant: ShiftGrant | undefined;
	#expiresAtMs = Number.NEGATIVE_INFINITY;
	/** Grants that may be in the store instead: it is unknown whether their writes took effect. */
	#pendingGrants: ShiftGrant[] = [];
	/** Whether the store may have no grant for this instance. */
	#mayHaveNone = false;
	#admittedAtMs: number[] = [];

	/** Number of calls admitted in the last window. */
	recentCalls(nowMs: number): number {
		this.#forgetOld(nowMs);
		return this.#admittedAtMs.length;
	}

	/** Granted calls per second. */
	get callsPerSecond(): number {
		return this.#grant?.callsPerSecond ?? 0;
	}

	/** Applies a grant that the store has confirmed; its duration is measured from before it was requested. */
	useGrant({grant, askedAtMs}: {readonly grant: ShiftGrant | undefined; readonly askedAtMs: number}): void {
		this.#grant = grant;
		this.#expiresAtMs = askedAtMs + (grant?.durationMs ?? 0);
		this.#pendingGrants = [];
		this.#mayHaveNone = false;
	}

	/**
	 * Obeys a grant that is about to be written, in addition to the current one, until a grant is confirmed.
	 *
	 * @returns False if the calls in the last window exceed the new grant: other instances could use the difference at once.
	 */
	mayStore({grant, nowMs}: MayStoreOptions): boolean {
		this.#mayHaveNone ||= grant === undefined;
		if (grant && !this.#pendingGrants.some(known => isAtLeastAsStrict({known, grant}))) {
			this.#pendingGrants.push(grant);
		}

		return this.recentCalls(nowMs) <= (grant?.callsPerSecond ?? 0);
	}

	/** Admits one call, or returns why not. */
	tryAdmit({nowMs, capCallsPerSecond, rampShare}: TryAdmitOptions): Either<ShiftRefusal, void> {
		if (!this.#grant || nowMs >= this.#expiresAtMs) {
			return Left('grant-expired');
		}

		const limits = [this.#grant, ...this.#pendingGrants].map(grant => allowedUnder({grant, capCallsPerSecond}));
		const limit = this.#mayHaveNone ? 0 : Math.floor(Math.min(...limits) * rampShare);
		this.#forgetOld(nowMs);
		if (this.#admittedAtMs.length >= limit) {
			return Left('shift-cap-reached');
		}

		this.#admittedAtMs.push(nowMs);
		return Right(undefined);
	}

	/** Removes the calls that have left the window. */
	#forgetOld(nowMs: number): void {
		const firstKept = this.#admittedAtMs.findIndex(atMs => nowMs - atMs < SHIFT_WINDOW_MS);
		this.#admittedAtMs = firstKept === -1 ? [] : this.#admittedAtMs.slice(firstKept);
	}
}

/** Whether a known grant allows at most as many calls as another one under any cap. */
function isAtLeastAsStrict({known, grant}: {readonly known: ShiftGrant; readonly grant: ShiftGrant}): boolean {
	return known.callsPerSecond <= grant.callsPerSecond && known.othersCallsPerSecond >= grant.othersCallsPerSecond;
}
