/** Counts the requests and permits for servers that named a rate limit, and logs them once per second and server. */
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {NamedRateLimits, ServerStart} from '@pomelopick/steering.servers';

/** Maximum number of servers that are counted at the same time; beyond it, the counts of all are dropped. */
const MAX_SERVERS = 1024;

/**
 * What happened. `sent`: a request of this instance was sent. At the owner of the server: `taken` or `used-up`, for a
 * request of its own; `granted` or `denied`, for one of another instance. At any other instance: `received` or
 * `not-received`, as the owner answered.
 */
export type RateLimitUseKind = 'sent' | 'taken' | 'used-up' | 'granted' | 'denied' | 'received' | 'not-received';

/** Options of {@link RateLimitUse}. */
export interface RateLimitUseOptions {
	readonly rateLimits: NamedRateLimits;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Options of {@link RateLimitUse.record}. */
export interface RecordUseOptions {
	readonly server: ServerStart;
	readonly kind: RateLimitUseKind;
}

/** Counts of the requests and permits for limited servers. */
export class RateLimitUse {
	readonly #options: RateLimitUseOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #counts = new Map<string, Map<RateLimitUseKind, number>>();

	constructor(options: RateLimitUseOptions) {
		this.#options = options;
	}

	/** Records what happened; does nothing if the server names no limit. */
	record({server, kind}: RecordUseOptions): void {
		const {rateLimits, counters, log, now} = this.#options;
		const requestsPerSecond = rateLimits.requestsPerSecond(server);
		if (requestsPerSecond === undefined) {
			return;
		}

		counters.add(`rate-limit.${kind}`);
		const counts = this.#countsOf(server.name);
		counts.set(kind, (counts.get(kind) ?? 0) + 1);
		if (this.#logLimiter.tryAcquire({key: server.name, nowMs: now()})) {
			this.#counts.delete(server.name);
			log.line('rate-limit-use', {subject: server.name, requestsPerSecond, ...Object.fromEntries(counts)});
		}
	}

	#countsOf(server: string): Map<RateLimitUseKind, number> {
		const known = this.#counts.get(server);
		if (known) {
			return known;
		}

		if (this.#counts.size >= MAX_SERVERS) {
			this.#counts.clear();
		}

		const counts = new Map<RateLimitUseKind, number>();
		this.#counts.set(server, counts);
		return counts;
	}
}
