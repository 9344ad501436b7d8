/** Counts the requests that this instance sends to servers that named a rate limit, and logs them once per second and server. */
import type {DecisionLog} from '@pomelopick/core.telemetry';
import type {NamedRateLimits, ServerStart} from '@pomelopick/steering.servers';
import {LogRateLimiter} from './log-rate-limiter.js';

/** Maximum number of servers that are counted at the same time; beyond it, the counts of all are dropped. */
const MAX_SERVERS = 1024;

/** Options of {@link RateLimitUse}. */
export interface RateLimitUseOptions {
	readonly rateLimits: NamedRateLimits;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Counts of the requests to limited servers. */
export class RateLimitUse {
	readonly #options: RateLimitUseOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #sent = new Map<string, number>();

	constructor(options: RateLimitUseOptions) {
		this.#options = options;
	}

	/** Records that a request is being sent to a server; does nothing if the server has no limit. */
	recordSend(server: ServerStart): void {
		const {rateLimits, log, now} = this.#options;
		const requestsPerSecond = rateLimits.requestsPerSecond(server);
		if (requestsPerSecond === undefined) {
			return;
		}

		const sent = (this.#sent.get(server.name) ?? 0) + 1;
		if (this.#logLimiter.tryAcquire({key: server.name, nowMs: now()})) {
			this.#sent.delete(server.name);
			log.line('rate-limit-use', {subject: server.name, requestsPerSecond, sent});
			return;
		}

		if (this.#sent.size >= MAX_SERVERS) {
			this.#sent.clear();
		}

		this.#sent.set(server.name, sent);
	}
}
