/**
 * Takes permits for requests of organisations with a quota: from the stock of this instance, or from the owners of the
 * shards, one after the other. Requests that wait for the same organisation share one question, and questions of
 * organisations that arise at the same moment share one message to an owner.
 */
import type {OrganisationName} from '@pomelopick/core.types';
import {
	chooseShard, PermitDemand, PermitStock, refusalOfOwners, shards,
} from '@pomelopick/steering.quotas';
import type {QuotaRefusal, ShardOwner} from '@pomelopick/steering.quotas';
import {OwnerAsks} from './owner-asks.js';
import type {OwnerAsksOptions} from './owner-asks.js';
import type {QuotaGrant} from './quota-messages.js';

/** A permit to send one request. Exactly one of its methods must be called, once. */
export interface QuotaPermit {
	/** Records that the request may have run. */
	readonly end: () => void;
	/** Returns the permit: the request did not run. */
	readonly giveBack: () => void;
}

/** A permit, or why there is none. */
export type QuotaOutcome = QuotaPermit | QuotaRefusal;

/** Options of {@link QuotaPermits}. */
export interface QuotaPermitsOptions extends OwnerAsksOptions {
	/** Number that differs between instances. */
	readonly offset: number;
}

interface Waiter {
	readonly resolve: (outcome: QuotaOutcome) => void;
}

/** What this instance has and needs for one organisation. */
interface OrganisationState {
	readonly stock: PermitStock;
	readonly demand: PermitDemand;
	readonly waiters: Waiter[];
	/** Monotonic times until which owners have no permits, by shard, in milliseconds. */
	readonly closedUntilMs: number[];
	/** Shards that were asked in vain for the requests that wait. */
	readonly asked: Set<number>;
	isAsking: boolean;
}

/** Monotonic time until which an owner has no permits, if it has never refused any. */
const NEVER_CLOSED = Number.NEGATIVE_INFINITY;

/** Permits of this instance. */
export class QuotaPermits {
	readonly #options: QuotaPermitsOptions;
	readonly #organisations = new Map<OrganisationName, OrganisationState>();
	readonly #asks: OwnerAsks;
	/** Number of suspensions of the process. A permit from before one is not used after it. */
	#suspensions = 0;

	constructor(options: QuotaPermitsOptions) {
		this.#options = options;
		this.#asks = new OwnerAsks(options);
	}

	/** Takes a permit for one request; resolves later only if an owner has to be asked. Never rejects. */
	take(organisation: OrganisationName): QuotaOutcome | Promise<QuotaOutcome> {
		const nowMs = this.#options.now();
		const state = this.#stateOf(organisation);
		state.demand.record(nowMs);
		const permit = state.waiters.length === 0 ? this.#tryTake({state, nowMs}) : undefined;
		if (permit) {
			return permit;
		}

		const waiting = new Promise<QuotaOutcome>(resolve => {
			state.waiters.push({resolve});
		});
		if (!state.isAsking) {
			void this.#askAll({organisation, state});
		}

		return waiting;
	}

	/** Drops all permits, since the process was suspended. */
	clear(): void {
		this.#suspensions += 1;
		for (const {stock} of this.#organisations.values()) {
			stock.clear();
		}
	}

	/** Removes the state of organisations that have no quota any more. */
	retain(isKept: (organisation: OrganisationName) => boolean): void {
		for (const [organisation, {isAsking}] of this.#organisations) {
			if (!isAsking && !isKept(organisation)) {
				this.#organisations.delete(organisation);
			}
		}
	}

	#tryTake({state: {stock}, nowMs}: {readonly state: OrganisationState; readonly nowMs: number}): QuotaPermit | undefined {
		const validUntilMs = stock.tryTake(nowMs);
		if (validUntilMs === undefined) {
			return undefined;
		}

		const suspensions = this.#suspensions;
		return {
			end() {/* It is used up. */},
			giveBack: () => {
				if (suspensions === this.#suspensions) {
					stock.giveBack(validUntilMs);
				}
			},
		};
	}

	/** Asks owners until no request waits. */
	async #askAll({organisation, state}: {readonly organisation: OrganisationName; readonly state: OrganisationState}): Promise<void> {
		const {offset, now} = this.#options;
		state.isAsking = true;
		while (state.waiters.length > 0) {
			const nowMs = now();
			const owners = this.#asks.list({closedUntilMs: state.closedUntilMs, nowMs});
			const shard = chooseShard({
				owners, asked: state.asked, offset, nowMs,
			});
			if (shard === undefined) {
				this.#refuseAll({state, owners, nowMs});
				break;
			}

			await this.#askOnce({organisation, state, shard});
		}

		state.isAsking = false;
	}

	async #askOnce({organisation, state, shard}: {readonly organisation: OrganisationName; readonly state: OrganisationState; readonly shard: number}): Promise<void> {
		const {now} = this.#options;
		const askedAtMs = now();
		const suspensions = this.#suspensions;
		const permits = state.demand.permits({waiting: state.waiters.length, nowMs: askedAtMs});
		const answering = this.#asks.ask({shard, ask: {organisation, permits}});
		const grant = answering instanceof Promise ? await answering : answering;
		// Reading the clock detects a suspension, so it comes before the number of suspensions is compared.
		const nowMs = now();
		if (!grant || grant.permits < permits) {
			state.asked.add(shard);
		}

		if (grant) {
			this.#apply({
				state, shard, grant: suspensions === this.#suspensions ? grant : {...grant, permits: 0}, askedAtMs, nowMs,
			});
		}
	}

	#apply({state, shard, grant: {permits, retryAfterMs}, askedAtMs, nowMs}: {
		readonly state: OrganisationState;
		readonly shard: number;
		readonly grant: QuotaGrant;
		readonly askedAtMs: number;
		readonly nowMs: number;
	}): void {
		if (retryAfterMs > 0) {
			state.closedUntilMs[shard] = nowMs + retryAfterMs;
		}

		if (permits > 0) {
			state.stock.add({permits, askedAtMs});
		}

		this.#serve({state, nowMs});
	}

	#serve({state, nowMs}: {readonly state: OrganisationState; readonly nowMs: number}): void {
		while (state.waiters.length > 0) {
			const permit = this.#tryTake({state, nowMs});
			if (!permit) {
				return;
			}

			state.waiters.shift()!.resolve(permit);
		}

		state.asked.clear();
	}

	#refuseAll({state, owners, nowMs}: {readonly state: OrganisationState; readonly owners: readonly ShardOwner[]; readonly nowMs: number}): void {
		// A permit may have been given back since.
		this.#serve({state, nowMs});
		const refusal = refusalOfOwners({owners, asked: state.asked, nowMs});
		state.asked.clear();
		for (const {resolve} of state.waiters.splice(0)) {
			resolve(refusal);
		}
	}

	#stateOf(organisation: OrganisationName): OrganisationState {
		let state = this.#organisations.get(organisation);
		if (!state) {
			state = {
				stock: new PermitStock(), demand: new PermitDemand(), waiters: [], closedUntilMs: shards.map(() => NEVER_CLOSED), asked: new Set(), isAsking: false,
			};
			this.#organisations.set(organisation, state);
		}

		return state;
	}
}
