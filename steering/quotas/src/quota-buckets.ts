/** Token buckets of the organisations in one shard, at the owner of the shard. */
import type {OrganisationName, OrganisationQuota} from '@pomelopick/core.types';
import {SHARDS} from './shard-record.js';

/** Requests that each shard allows at once beyond its part of the burst: together less than the slack of a quota, and enough for quotas with no burst. */
const EXTRA_TOKENS = 3;
const MIN_CAPACITY = 1;
const MILLISECONDS_PER_SECOND = 1000;
/** Tokens that each asking instance should find on average, so that many instances do not ask for single tokens. */
const TOKENS_PER_ASK = 2;
/** Maximum time after which an instance asks again although there may be tokens before, in milliseconds. */
const MAX_ASK_INTERVAL_MS = 400;
/** Time for which an instance counts as asking, in milliseconds. */
const ASKING_MS = 1000;
/** Time after which to ask again when the owner may use nothing, in milliseconds. */
const CLOSED_RETRY_MS = 1000;
/** Maximum time after which to ask again, in milliseconds. */
const MAX_RETRY_MS = 60_000;

/** Options of {@link QuotaBuckets.take}. */
export interface TakeTokensOptions {
	readonly organisation: OrganisationName;
	readonly quota: OrganisationQuota;
	/** Number of tokens that are asked for. */
	readonly permits: number;
	/** Share of the shard that its owner may use, from 0 to 1. */
	readonly share: number;
	/** Counter of claims; the buckets are empty at the start of each. */
	readonly generation: number;
	/** Monotonic time since which the owner has been allowed the share, in milliseconds. */
	readonly usableSinceMs: number;
	/** Who asks. */
	readonly asker: string;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Tokens that were taken. */
export interface TakenTokens {
	readonly permits: number;
	/** Time after which to ask again, in milliseconds; 0 when all were taken that were asked for. */
	readonly retryAfterMs: number;
}

interface Bucket {
	tokens: number;
	refilledAtMs: number;
	/** Rate and capacity at the last refill. */
	ratePerSecond: number;
	generation: number;
	/** Monotonic times of the last request of each asking instance, in milliseconds. */
	readonly askers: Map<string, number>;
}

/** The buckets; their capacities and rates are proportional to the share, so that those of two users of a shard add up to one. */
export class QuotaBuckets {
	readonly #buckets = new Map<OrganisationName, Bucket>();
	/** Monotonic time at which buckets were last removed, in milliseconds. */
	#removedAtMs = Number.NEGATIVE_INFINITY;

	/** Takes as many tokens as there are of those that are asked for. */
	take(options: TakeTokensOptions): TakenTokens {
		const {permits, asker, nowMs} = options;
		const bucket = this.#refill(options);
		bucket.askers.set(asker, nowMs);
		const taken = Math.max(0, Math.min(permits, Math.floor(bucket.tokens)));
		bucket.tokens -= taken;
		return {permits: taken, retryAfterMs: taken === permits ? 0 : retryAfterMs({bucket, nowMs})};
	}

	/** Removes the buckets of organisations that are not kept. */
	retain({isKept, nowMs}: {readonly isKept: (organisation: OrganisationName) => boolean; readonly nowMs: number}): void {
		for (const organisation of this.#buckets.keys()) {
			if (!isKept(organisation)) {
				this.#buckets.delete(organisation);
				this.#removedAtMs = nowMs;
			}
		}
	}

	#refill({organisation, quota: {requestsPerSecond, burst}, share, generation, usableSinceMs, nowMs}: TakeTokensOptions): Bucket {
		const ratePerSecond = requestsPerSecond / SHARDS * share;
		const capacity = share === 0 ? 0 : Math.max(MIN_CAPACITY, share * ((burst / SHARDS) + EXTRA_TOKENS));
		const known = this.#buckets.get(organisation);
		if (known?.generation !== generation) {
			// It has filled since the claim, or since an earlier bucket of the organisation may have been removed.
			const sinceMs = Math.max(usableSinceMs, this.#removedAtMs);
			const bucket: Bucket = {
				tokens: Math.min(capacity, ratePerSecond * Math.max(0, nowMs - sinceMs) / MILLISECONDS_PER_SECOND), refilledAtMs: nowMs, ratePerSecond, generation, askers: new Map(),
			};
			this.#buckets.set(organisation, bucket);
			return bucket;
		}

		// The rate may have changed at any time since the last refill.
		const earned = Math.min(known.ratePerSecond, ratePerSecond) * Math.max(0, nowMs - known.refilledAtMs) / MILLISECONDS_PER_SECOND;
		known.tokens = Math.min(capacity, known.tokens + earned);
		known.refilledAtMs = nowMs;
		known.ratePerSecond = ratePerSecond;
		return known;
	}
}

/** Time until there is a token, in milliseconds, or longer when many instances ask: then until there are some for each. */
function retryAfterMs({bucket: {tokens, ratePerSecond, askers}, nowMs}: {readonly bucket: Bucket; readonly nowMs: number}): number {
	for (const [asker, askedAtMs] of askers) {
		if (nowMs - askedAtMs > ASKING_MS) {
			askers.delete(asker);
		}
	}

	if (ratePerSecond === 0) {
		return CLOSED_RETRY_MS;
	}

	const untilTokenMs = (1 - tokens) * MILLISECONDS_PER_SECOND / ratePerSecond;
	const forAllMs = askers.size * TOKENS_PER_ASK * MILLISECONDS_PER_SECOND / ratePerSecond;
	return Math.min(MAX_RETRY_MS, Math.max(1, Math.ceil(Math.max(untilTokenMs, Math.min(MAX_ASK_INTERVAL_MS, forAllMs)))));
}
