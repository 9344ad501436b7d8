/** Retry budget and latency of each service at this instance. */
import type {ServiceName} from '@pomelopick/core.types';
import {LatencyTracker} from './latency-tracker.js';
import {RetryBudget} from './retry-budget.js';

/** What bounds extra attempts of one service. */
export interface ServicePolicy {
	readonly budget: RetryBudget;
	readonly latency: LatencyTracker;
}

/** Keeps one policy a service. Only configured services reach it, which bounds it. */
export class ServicePolicies {
	readonly #now: () => number;
	readonly #policies = new Map<ServiceName, ServicePolicy>();

	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Policy of a service. */
	of(service: ServiceName): ServicePolicy {
		let policy = this.#policies.get(service);
		if (!policy) {
			const nowMs = this.#now();
			policy = {budget: new RetryBudget({nowMs}), latency: new LatencyTracker({nowMs})};
			this.#policies.set(service, policy);
		}

		return policy;
	}
}
