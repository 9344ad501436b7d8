/** Counters and timings of one process, kept in memory and sent to a StatsD server by hot-shots. */
import {StatsD} from 'hot-shots';
import type {HedgeReason, RefusalReason, RetryReason} from '@pomelopick/core.types';

/** Maximum size of a datagram with metrics, in bytes; fits the payload of an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1400;
/** Maximum time for which a metric is buffered, in milliseconds. */
const FLUSH_INTERVAL_MS = 200;

/** The StatsD server that receives the metrics over UDP. */
export interface MetricsTarget {
	readonly host: string;
	readonly port: number;
}

/** Options of {@link Counters}. */
export interface CountersOptions {
	/** If absent, counters are kept in the process only. */
	readonly target?: MetricsTarget;
	/** Tags of every metric. */
	readonly tags: Readonly<Record<string, string>>;
}

/** Counts refusals, retries and hedges by reason, and any other named event. */
export interface CallCounters {
	/** Adds one to the counter of a refusal reason. */
	refused(reason: RefusalReason): void;
	/** Adds one to the counter of a retry reason. */
	retried(reason: RetryReason): void;
	/** Adds one to the counter of a hedge reason. */
	hedged(reason: HedgeReason): void;
	/** Adds to a named counter. */
	add(name: string, count?: number): void;
	/** Records a duration, in milliseconds. */
	timing(name: string, durationMs: number): void;
}

/** Keeps counters in the process and sends them to a StatsD server. */
export class Counters implements CallCounters {
	readonly #client: StatsD | undefined;
	readonly #values = new Map<string, number>();

	constructor({target, tags}: CountersOptions) {
		this.#client = target && new StatsD({
			host: target.host,
			port: target.port,
			prefix: 'pomelopick.',
			globalTags: {...tags},
			maxBufferSize: MAX_DATAGRAM_BYTES,
			bufferFlushInterval: FLUSH_INTERVAL_MS,
			errorHandler() {/* A lost metric is acceptable. */},
		});
	}

	/** Adds one to the counter of a refusal reason. */
	refused(reason: RefusalReason): void {
		this.add(`refusal.${reason}`);
	}

	/** Adds one to the counter of a retry reason. */
	retried(reason: RetryReason): void {
		this.add(`retry.${reason}`);
	}

	/** Adds one to the counter of a hedge reason. */
	hedged(reason: HedgeReason): void {
		this.add(`hedge.${reason}`);
	}

	/** Adds to a named counter. */
	add(name: string, count = 1): void {
		this.#values.set(name, (this.#values.get(name) ?? 0) + count);
		this.#client?.increment(name, count);
	}

	/** Sends a duration, in milliseconds. */
	timing(name: string, durationMs: number): void {
		this.#client?.timing(name, durationMs);
	}

	/** All counters since the process started, by name. */
	snapshot(): Record<string, number> {
		return Object.fromEntries([...this.#values].sort(([left], [right]) => left.localeCompare(right)));
	}

	/** Sends the buffered metrics and closes the socket. */
	async close(): Promise<void> {
		const client = this.#client;
		if (client) {
			await new Promise<void>(resolve => {
				client.close(() => {
					resolve();
				});
			});
		}
	}
}
