/**
 * Remembers the shares that the owner of a shard was allowed, and decides which of them it may use for grants that last
 * longer than a moment, such as reservations: the smallest one of the time for which a grant lasts.
 *
 * At any time, the shares of all users of a shard add up to at most 1. What a user granted lasts for at most a time T, and
 * was granted within the smallest share that the user had in the T before the grant. So what it holds at a time t is within
 * the share that it had at t - T, and what all users hold at t is within 1. A user whose share rises therefore waits for T.
 * Only the first owner of a shard need not, since there were no users before.
 */

/** Time for which shares are remembered at least, in milliseconds, as a new configuration may lengthen the time of grants. */
const MEMORY_MS = 600_000;

/** A share and the monotonic time since which it was allowed, in milliseconds. */
interface ShareSince {
	readonly share: number;
	readonly sinceMs: number;
}

/** Options of {@link ShareHistory.record}. */
export interface RecordShareOptions {
	/** Share that the owner may use now, from 0 to 1. */
	readonly share: number;
	/** Whether nobody can have used the shard before its present owner. */
	readonly isFirstOwner: boolean;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Time before now in which shares count. */
export interface ShareWindow {
	/** Time for which grants last at most, in milliseconds. */
	readonly windowMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The shares that an owner was allowed recently. They must be recorded before each write about the shard, and before each use. */
export class ShareHistory {
	/** In the order of their times, each valid until the next. */
	#changes: ShareSince[] = [{share: 0, sinceMs: Number.NEGATIVE_INFINITY}];

	/** Records the present share. */
	record({share, isFirstOwner, nowMs}: RecordShareOptions): void {
		if (isFirstOwner) {
			this.#changes = [{share, sinceMs: Number.NEGATIVE_INFINITY}];
		} else if (this.#changes.at(-1)!.share !== share) {
			this.#changes.push({share, sinceMs: nowMs});
		}
	}

	/** Smallest share of the time for which grants last. */
	minimum({windowMs, nowMs}: ShareWindow): number {
		this.#forget({untilMs: nowMs - Math.max(MEMORY_MS, windowMs)});
		const recent = this.#changes.filter((_, index) => (this.#changes[index + 1]?.sinceMs ?? Number.POSITIVE_INFINITY) > nowMs - windowMs);
		return Math.min(...recent.map(({share}) => share));
	}

	/** Time until the present share may be used, in milliseconds, if it stays. */
	waitLeftMs({windowMs, nowMs}: ShareWindow): number {
		return Math.max(0, this.#changes.at(-1)!.sinceMs + windowMs - nowMs);
	}

	#forget({untilMs}: {readonly untilMs: number}): void {
		while (this.#changes.length > 1 && this.#changes[1]!.sinceMs <= untilMs) {
			this.#changes.shift();
		}
	}
}
