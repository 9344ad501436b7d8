/** Chooses the owner that an instance asks for permits. */

/** An owner of a shard, in the view of the asking instance. */
export interface ShardOwner {
	readonly shard: number;
	/** Whether the asking instance is the owner. */
	readonly isSelf: boolean;
	/** Whether the owner can be asked: it is known, and has answered lately if it was asked. */
	readonly isReachable: boolean;
	readonly isSameFailureDomain: boolean;
	readonly isSameRegion: boolean;
	/** Monotonic time until which the owner has no permit for the organisation, in milliseconds. */
	readonly closedUntilMs: number;
}

/** Options of {@link chooseShard}. */
export interface ChooseShardOptions {
	readonly owners: readonly ShardOwner[];
	/** Shards that were asked already for the requests that wait. */
	readonly asked: ReadonlySet<number>;
	/** Number that differs between instances, so that they do not all ask the same owner first. */
	readonly offset: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** The shard whose owner is asked next; undefined: none is left. The nearest owners come first. */
export function chooseShard({owners, asked, offset, nowMs}: ChooseShardOptions): number | undefined {
	let best: ShardOwner | undefined;
	let bestDistance = Number.POSITIVE_INFINITY;
	for (const owner of owners) {
		const distance = (distanceOf(owner) * owners.length) + ((owner.shard + offset) % owners.length);
		if (owner.isReachable && owner.closedUntilMs <= nowMs && !asked.has(owner.shard) && distance < bestDistance) {
			best = owner;
			bestDistance = distance;
		}
	}

	return best?.shard;
}

function distanceOf({isSelf, isSameFailureDomain, isSameRegion}: ShardOwner): number {
	if (isSelf) {
		return 0;
	}

	if (isSameFailureDomain) {
		return 1;
	}

	return isSameRegion ? 2 : 3;
}

/** Why no permit is to be had: the owners that could be asked have none, or no owner could be asked. */
export type QuotaRefusal =
	| {readonly reason: 'quota-exceeded'; readonly retryAfterMs: number}
	| {readonly reason: 'quota-unavailable'; readonly retryAfterMs: number};

/** Time after which a caller is asked to retry when no owner could be asked, in milliseconds: owners that did not answer are asked again in the meantime. */
const UNAVAILABLE_RETRY_MS = 1000;

/** Why a request gets no permit when no owner is left to ask. */
export function refusalOfOwners({owners, asked, nowMs}: Omit<ChooseShardOptions, 'offset'>): QuotaRefusal {
	const closedUntil = owners
		.filter(({isReachable}) => isReachable)
		.filter(({shard, closedUntilMs}) => closedUntilMs > nowMs || (asked.has(shard) && Number.isFinite(closedUntilMs)))
		.map(({closedUntilMs}) => closedUntilMs);
	return closedUntil.length > 0
		? {reason: 'quota-exceeded', retryAfterMs: Math.max(1, Math.min(...closedUntil) - nowMs)}
		: {reason: 'quota-unavailable', retryAfterMs: UNAVAILABLE_RETRY_MS};
}
