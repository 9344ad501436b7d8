/**
 * Limits the rate of requests that a backend server gets from all instances together.
 *
 * Each limited server has one owner, the instance that ranks first for it by highest-random-weight hashing. Only the
 * owner decides whether a request may be sent: it takes a token from its bucket, for a request of its own or for one of
 * another instance that asks for a permit. So the bound does not depend on the number of instances.
 *
 * Instances with different views of the fleet may consider themselves owners of the same server for a while. How much of
 * the rate an owner uses depends on how sure it is to be the only one ({@link OwnerShares}). The token bucket of a new
 * owner is empty, so that restarts add no requests.
 */
import {chooseOwners} from '@pomelopick/core.rendezvous';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {isCandidate, MAX_VIEW_AGE_MS, SETTLING_MS} from './owner-candidates.js';
import type {OwnerCandidate} from './owner-candidates.js';

/** Capacity of the token bucket of an owner that may not be the only one: no burst is saved up. */
const MIN_TOKENS = 1;
/** Time for which the tokens of a limit that a server names are saved up, in milliseconds, so that a high limit is used when requests come irregularly. */
const NAMED_BURST_MS = 250;
/** Lowest rate at which a server is used that names a limit, in requests per second: its responses show when the limit ends. */
const MIN_NAMED_RATE_PER_SECOND = 0.25;
const MILLISECONDS_PER_SECOND = 1000;

/** Shares of the limit that an owner uses, from 0 to 1. */
export interface OwnerShares {
	/** It has been the owner for so long that no other instance with a current view considers itself the owner. */
	readonly settled: number;
	/** It has been the owner for a shorter time, so that the previous owner may still be active. */
	readonly recent: number;
	/** Its view of the fleet is outdated, so that another instance may have become the owner. */
	readonly outdated: number;
}

/** A limit of one server for the requests of all instances together. */
export interface FleetRateLimit {
	readonly requestsPerSecond: number;
	readonly shares: OwnerShares;
	/** Number of requests that the owner may send at once when it is settled. */
	readonly burst: number;
}

/** The instances among which the owners are chosen. */
export interface FleetView {
	/** Instances that are or were candidates, with or without this one. */
	readonly candidates: readonly OwnerCandidate[];
	/** Counter that grows whenever these change. */
	readonly generation: number;
	/** Age of the view of the fleet that contains these instances, in milliseconds. */
	readonly viewAgeMs: number;
}

/** Options of {@link FleetRateLimits.tryTake}. */
export interface TryTakeOptions {
	readonly server: BackendServerName;
	/** Limits of the server; all of them apply. */
	readonly limits: readonly FleetRateLimit[];
	readonly fleet: FleetView;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface TokenBucket {
	tokens: number;
	refilledAtMs: number;
}

/** The candidates in the order of their rank for a server. */
interface Ranking {
	readonly generation: number;
	readonly candidates: readonly OwnerCandidate[];
}

/**
 * The limit of a server that is warming up. Only an owner that is sure to be the only one sends; up to three owners at
 * the same time, of which some were suspended and have not noticed it yet, stay within the tolerance of the server.
 */
export function warmupLimit(requestsPerSecond: number): FleetRateLimit {
	return {
		requestsPerSecond,
		shares: {settled: 0.5, recent: 0, outdated: 0},
		burst: MIN_TOKENS,
	};
}

/** The limit that a server names in its responses. While the store is unavailable, the servers in need are still used. */
export function namedLimit(requestsPerSecond: number): FleetRateLimit {
	return {
		requestsPerSecond: Math.max(MIN_NAMED_RATE_PER_SECOND, requestsPerSecond),
		shares: {settled: 1, recent: 0.5, outdated: 0.5},
		burst: Math.max(MIN_TOKENS, requestsPerSecond * NAMED_BURST_MS / MILLISECONDS_PER_SECOND),
	};
}

/** Decides about requests to the limited servers that this instance owns. */
export class FleetRateLimits {
	readonly #self: InstanceId;
	readonly #buckets = new Map<BackendServerName, TokenBucket>();
	readonly #rankings = new Map<BackendServerName, Ranking>();

	constructor({self}: {readonly self: InstanceId}) {
		this.#self = self;
	}

	/** The owner of a server in the view of this instance; undefined when there is no candidate. */
	ownerOf(options: TryTakeOptions): InstanceId | undefined {
		return this.#findOwner(options)?.id;
	}

	/** Whether this instance is the owner and a request may be sent now; does not count it. */
	mayTake(options: TryTakeOptions): boolean {
		return this.ownerOf(options) === this.#self && this.#ratePerSecond(options) > 0 && this.#refill(options).tokens >= 1;
	}

	/** Counts one request; returns false when it may not be sent. */
	tryTake(options: TryTakeOptions): boolean {
		if (!this.mayTake(options)) {
			return false;
		}

		this.#refill(options).tokens -= 1;
		return true;
	}

	/** Time until the next request may be sent, in milliseconds; infinite when there is none at the current rate. This instance must be the owner. */
	waitMs(options: TryTakeOptions): number {
		const missingTokens = Math.max(0, 1 - this.#refill(options).tokens);
		return missingTokens === 0 ? 0 : missingTokens * MILLISECONDS_PER_SECOND / this.#ratePerSecond(options);
	}

	/** Removes the state of a server. */
	forget(server: BackendServerName): void {
		this.#buckets.delete(server);
		this.#rankings.delete(server);
	}

	#findOwner(options: TryTakeOptions): OwnerCandidate | undefined {
		return this.#rank(options).find(candidate => isCandidate({candidate, nowMs: options.nowMs}));
	}

	#rank({server, fleet: {candidates, generation}}: TryTakeOptions): readonly OwnerCandidate[] {
		const known = this.#rankings.get(server);
		if (known?.generation === generation) {
			return known.candidates;
		}

		const ranked = chooseOwners({key: server, instances: candidates, count: candidates.length});
		this.#rankings.set(server, {generation, candidates: ranked});
		return ranked;
	}

	/** Capacity of the bucket. */
	#maxTokens(options: TryTakeOptions): number {
		return this.#stateOf(options) === 'settled' ? Math.min(...options.limits.map(({burst}) => burst)) : MIN_TOKENS;
	}

	/** How sure this instance, the owner, is to be the only one. */
	#stateOf(options: TryTakeOptions): keyof OwnerShares {
		const {fleet: {viewAgeMs}, nowMs} = options;
		if (viewAgeMs >= MAX_VIEW_AGE_MS) {
			return 'outdated';
		}

		const ranking = this.#rank(options);
		const position = ranking.findIndex(candidate => isCandidate({candidate, nowMs}));
		const hasSettled = position !== -1 && nowMs - ranking[position]!.sinceMs >= SETTLING_MS;
		const hasRecentPrevious = ranking.slice(0, Math.max(0, position)).some(({removedAtMs}) => nowMs - removedAtMs! < SETTLING_MS);
		return hasSettled && !hasRecentPrevious ? 'settled' : 'recent';
	}

	/** Requests per second that this instance allows as the owner. */
	#ratePerSecond(options: TryTakeOptions): number {
		const state = this.#stateOf(options);
		return Math.min(...options.limits.map(({requestsPerSecond, shares}) => requestsPerSecond * shares[state]));
	}

	#refill(options: TryTakeOptions): TokenBucket {
		const {server, nowMs} = options;
		const bucket = this.#buckets.get(server) ?? {tokens: 0, refilledAtMs: nowMs};
		const earnedTokens = (nowMs - bucket.refilledAtMs) * this.#ratePerSecond(options) / MILLISECONDS_PER_SECOND;
		bucket.tokens = Math.min(this.#maxTokens(options), bucket.tokens + earnedTokens);
		bucket.refilledAtMs = nowMs;
		this.#buckets.set(server, bucket);
		return bucket;
	}
}
