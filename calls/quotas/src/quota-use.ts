/** Counts the requests that quotas allowed and refused, and logs them once per second and organisation while some are refused. */
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {OrganisationName} from '@pomelopick/core.types';

/** Maximum number of organisations that are counted at the same time; beyond it, the counts of all are dropped. */
const MAX_ORGANISATIONS = 4096;

const outcomes = {'quota-exceeded': 'exceeded', 'quota-unavailable': 'unavailable'} as const;

/** Options of {@link QuotaUse}. */
export interface QuotaUseOptions {
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

interface Counts {
	taken: number;
	exceeded: number;
	unavailable: number;
	sinceMs: number;
}

/** Counts by organisation. */
export class QuotaUse {
	readonly #options: QuotaUseOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #counts = new Map<OrganisationName, Counts>();

	constructor(options: QuotaUseOptions) {
		this.#options = options;
	}

	/** Records a request that got a permit. It is counted for the log only if some of the organisation's requests were refused recently. */
	recordTaken(organisation: OrganisationName): void {
		this.#options.counters.add('quota.taken');
		const counts = this.#counts.get(organisation);
		if (counts) {
			counts.taken += 1;
		}
	}

	/** Records a request that got no permit. */
	recordRefused({organisation, reason}: {readonly organisation: OrganisationName; readonly reason: 'quota-exceeded' | 'quota-unavailable'}): void {
		const {counters, log, now} = this.#options;
		const outcome = outcomes[reason];
		counters.add(`quota.${outcome}`);
		const nowMs = now();
		const counts = this.#countsOf({organisation, nowMs});
		counts[outcome] += 1;
		if (this.#logLimiter.tryAcquire({key: organisation, nowMs})) {
			const {taken, exceeded, unavailable, sinceMs} = counts;
			this.#counts.set(organisation, createCounts(nowMs));
			log.line('quota-use', {
				organisation, taken, exceeded, unavailable, sinceMs: Math.round(nowMs - sinceMs),
			});
		}
	}

	#countsOf({organisation, nowMs}: {readonly organisation: OrganisationName; readonly nowMs: number}): Counts {
		const known = this.#counts.get(organisation);
		if (known) {
			return known;
		}

		if (this.#counts.size >= MAX_ORGANISATIONS) {
			this.#counts.clear();
		}

		const counts = createCounts(nowMs);
		this.#counts.set(organisation, counts);
		return counts;
	}
}

function createCounts(sinceMs: number): Counts {
	return {
		taken: 0, exceeded: 0, unavailable: 0, sinceMs,
	};
}
