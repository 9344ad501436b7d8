/**
 * Limits the requests that a backend server gets while it warms up, for all instances together.
 *
 * Each server that is warming up has one owner, the instance that ranks first for it by highest-random-weight hashing.
 * Only the owner sends requests to it, one at a time and at RATE_SHARE of the rate that the server can handle. Instances
 * with different views of the fleet may own the same server for a while; the requests of three owners together stay
 * within the tolerance of the server. An instance with an outdated view sends no requests to the server, so that there
 * are no more than three owners. The token bucket of a new process is empty, so that restarts add no requests.
 */
import {chooseOwner} from '@pomelopick/core.rendezvous';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

/** Share of the rate that a server can handle which its owner uses. */
const RATE_SHARE = 0.5;
/** Capacity of the token bucket: no burst is saved up. */
const MAX_TOKENS = 1;
/** Age from which a view of the fleet is outdated, in milliseconds: longer than the time between responses of an idle store. */
const MAX_VIEW_AGE_MS = 3000;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link WarmupShares.tryTake}. */
export interface TryTakeWarmupOptions {
	readonly server: BackendServerName;
	/** Requests per second that the server can handle while it warms up. */
	readonly requestsPerSecond: number;
	/** Instances that may send to the server, with or without this one. */
	readonly instances: ReadonlyArray<{readonly id: InstanceId}>;
	/** Counter that grows whenever these instances change. */
	readonly generation: number;
	/** Age of the view of the fleet that contains these instances, in milliseconds. */
	readonly viewAgeMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface TokenBucket {
	tokens: number;
	refilledAtMs: number;
}

/** Limits the requests of this instance to servers that are warming up. */
export class WarmupShares {
	readonly #self: InstanceId;
	readonly #buckets = new Map<BackendServerName, TokenBucket>();
	/** Whether this instance owns a server, among the instances of the current generation. */
	readonly #isOwnedByServer = new Map<BackendServerName, boolean>();
	#generation: number | undefined;

	constructor({self}: {readonly self: InstanceId}) {
		this.#self = self;
	}

	/** Whether a request may be sent now; does not count it. */
	mayTake(options: TryTakeWarmupOptions): boolean {
		return options.viewAgeMs < MAX_VIEW_AGE_MS && this.#isOwner(options) && this.#refill(options).tokens >= 1;
	}

	/** Counts one request; returns false when it may not be sent. */
	tryTake(options: TryTakeWarmupOptions): boolean {
		if (!this.mayTake(options)) {
			return false;
		}

		this.#refill(options).tokens -= 1;
		return true;
	}

	/** Removes the state of a server. */
	forget(server: BackendServerName): void {
		this.#buckets.delete(server);
		this.#isOwnedByServer.delete(server);
	}

	#isOwner({server, instances, generation}: TryTakeWarmupOptions): boolean {
		if (generation !== this.#generation) {
			this.#isOwnedByServer.clear();
			this.#generation = generation;
		}

		let isOwned = this.#isOwnedByServer.get(server);
		if (isOwned === undefined) {
			const others = instances.filter(({id}) => id !== this.#self);
			isOwned = chooseOwner({key: server, instances: [...others, {id: this.#self}]})?.id === this.#self;
			this.#isOwnedByServer.set(server, isOwned);
		}

		return isOwned;
	}

	#refill({server, requestsPerSecond, nowMs}: TryTakeWarmupOptions): TokenBucket {
		const bucket = this.#buckets.get(server) ?? {tokens: 0, refilledAtMs: nowMs};
		const earnedTokens = (nowMs - bucket.refilledAtMs) * requestsPerSecond * RATE_SHARE / MILLISECONDS_PER_SECOND;
		bucket.tokens = Math.min(MAX_TOKENS, bucket.tokens + earnedTokens);
		bucket.refilledAtMs = nowMs;
		this.#buckets.set(server, bucket);
		return bucket;
	}
}
