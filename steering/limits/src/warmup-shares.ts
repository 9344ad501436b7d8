/**
 * Bounds the requests that a backend server receives while it warms up, over all instances together.
 *
 * One instance owns a warming server: the one that ranks first for it by highest-random-weight hashing. It alone
 * sends there, at RATE_SHARE of what the server bears and one request at a time. Instances whose views of the fleet
 * differ may all own a server for a while; three together stay below what it bears with its tolerance. An instance whose
 * view is old sends nothing there, so that more than three do not come about. A process that starts anew has to earn its
 * first request, so that restarts add nothing.
 */
import {chooseOwner} from '@pomelopick/core.rendezvous';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

const RATE_SHARE = 0.5;
const MAX_TOKENS = 1;
/** Age from which on a view of the fleet is old, in milliseconds: longer than a quiet store lets pass between answers. */
const MAX_VIEW_AGE_MS = 3000;
const MILLISECONDS_PER_SECOND = 1000;

/** Options of {@link WarmupShares.tryTake}. */
export interface TryTakeWarmupOptions {
	readonly server: BackendServerName;
	/** Requests per second that the server bears while it warms up. */
	readonly requestsPerSecond: number;
	/** Instances that may send to it, this one included or not. */
	readonly instances: ReadonlyArray<{readonly id: InstanceId}>;
	/** Grows whenever these instances change. */
	readonly generation: number;
	/** Age of the view that these come from, in milliseconds. */
	readonly viewAgeMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

interface TokenBucket {
	tokens: number;
	refilledAtMs: number;
}

/** Requests to warming servers that this instance may send. */
export class WarmupShares {
	readonly #self: InstanceId;
	readonly #buckets = new Map<BackendServerName, TokenBucket>();
	/** Whether this instance owns a server among the instances of the known generation. */
	readonly #isOwnedByServer = new Map<BackendServerName, boolean>();
	#generation: number | undefined;

	constructor({self}: {readonly self: InstanceId}) {
		this.#self = self;
	}

	/** Whether a request may be sent now, without taking it. */
	mayTake(options: TryTakeWarmupOptions): boolean {
		return options.viewAgeMs < MAX_VIEW_AGE_MS && this.#isOwner(options) && this.#refill(options).tokens >= 1;
	}

	/** Takes one request; false when it may not be sent. */
	tryTake(options: TryTakeWarmupOptions): boolean {
		if (!this.mayTake(options)) {
			return false;
		}

		this.#refill(options).tokens -= 1;
		return true;
	}

	/** Forgets a server. */
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
		const earned = (nowMs - bucket.refilledAtMs) * requestsPerSecond * RATE_SHARE / MILLISECONDS_PER_SECOND;
		bucket.tokens = Math.min(MAX_TOKENS, bucket.tokens + earned);
		bucket.refilledAtMs = nowMs;
		this.#buckets.set(server, bucket);
		return bucket;
	}
}
