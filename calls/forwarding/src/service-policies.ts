/** Retry budget and recent latency of each service at this instance. */
import type {ServiceName} from '@pomelopick/core.types';
import {LatencyTracker} from './latency-tracker.js';
import {RetryBudget} from './retry-budget.js';

/** What limits and times the extra attempts (retries and hedges) of one service. */
export interface ServicePolicy {
	readonly budget: RetryBudget;
	readonly latency: LatencyTracker;
}

/** Keeps one policy for each service. Only configured services are looked up, which bounds the size. */
export class ServicePolicies {
	readonly #now: () => number;
	readonly #policies = new Map<ServiceName, ServicePolicy>();

	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Returns the policy of a service, creating it when needed. */
	get(service: ServiceName): ServicePolicy {
		let policy = this.#policies.get(service);
		if (!policy) {
			const nowMs = this.#now();
			policy = {budget: new RetryBudget({nowMs}), latency: new LatencyTracker({nowMs})};
			this.#policies.set(service, policy);
		}

		return policy;
	}
}
