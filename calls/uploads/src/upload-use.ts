/** Counts the reservations that were granted and refused, and logs them once per second and server while some are refused. */
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';

/** Maximum number of servers that are counted at the same time; beyond it, the counts of all are dropped. */
const MAX_SERVERS = 4096;

/** What became of a request for a reservation; `unreachable`: no owner answered. */
export type UploadUseOutcome = 'granted' | 'refused' | 'unreachable';

/** Options of {@link UploadUse}. */
export interface UploadUseOptions {
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

type Counts = Record<UploadUseOutcome, number> & {readonly sinceMs: number};

/** Counts by server. */
export class UploadUse {
	readonly #options: UploadUseOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #counts = new Map<BackendServerName, Counts>();

	constructor(options: UploadUseOptions) {
		this.#options = options;
	}

	/** Records what became of a request for a reservation. */
	record({server, outcome}: {readonly server: BackendServerName; readonly outcome: UploadUseOutcome}): void {
		const {counters, log, now} = this.#options;
		counters.add(`upload.${outcome}`);
		const nowMs = now();
		const counts = this.#countsOf({server, nowMs});
		counts[outcome] += 1;
		if (outcome !== 'granted' && this.#logLimiter.tryAcquire({key: server, nowMs})) {
			const {granted, refused, unreachable, sinceMs} = counts;
			this.#counts.delete(server);
			log.line('upload-use', {
				subject: server, granted, refused, unreachable, sinceMs: Math.round(nowMs - sinceMs),
			});
		}
	}

	#countsOf({server, nowMs}: {readonly server: BackendServerName; readonly nowMs: number}): Counts {
		const known = this.#counts.get(server);
		if (known) {
			return known;
		}

		if (this.#counts.size >= MAX_SERVERS) {
			this.#counts.clear();
		}

		const counts: Counts = {
			granted: 0, refused: 0, unreachable: 0, sinceMs: nowMs,
		};
		this.#counts.set(server, counts);
		return counts;
	}
}
