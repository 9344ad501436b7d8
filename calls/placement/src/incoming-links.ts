/** Budgets of the links over which calls from other regions reach the servers of one service in one region. */
import type {ConfigurationSet, RegionName, Service} from '@pomelopick/core.types';
import {LinkBudget, linkShareBytesPerSecond} from '@pomelopick/steering.links';

/** Options of {@link IncomingLinks}. */
export interface IncomingLinksOptions {
	readonly set: ConfigurationSet;
	readonly service: Service;
	/** Region of the servers. */
	readonly region: RegionName;
}

/** Bytes that calls from each region may still send over its link to a region. */
export class IncomingLinks {
	readonly #budgets = new Map<RegionName, LinkBudget>();
	readonly #service: Service;
	readonly #region: RegionName;
	#set: ConfigurationSet;

	constructor({set, service, region}: IncomingLinksOptions) {
		this.#set = set;
		this.#service = service;
		this.#region = region;
	}

	/** Applies a newer configuration, under which all budgets start anew. */
	useSet(set: ConfigurationSet): void {
		this.#set = set;
		this.#budgets.clear();
	}

	/** Returns the budget of the link from a region; undefined if the configuration has no such link. */
	find({from, nowMs}: {readonly from: RegionName; readonly nowMs: number}): LinkBudget | undefined {
		const known = this.#budgets.get(from);
		if (known) {
			return known;
		}

		const bytesPerSecond = linkShareBytesPerSecond({
			set: this.#set, service: this.#service, from, to: this.#region,
		});
		const budget = bytesPerSecond === undefined ? undefined : new LinkBudget({bytesPerSecond, nowMs});
		if (budget) {
			this.#budgets.set(from, budget);
		}

		return budget;
	}
}
