/**
 * Shares the warm-up of backend servers between the instances.
 *
 * A server that has started anew states how long it warms up in its entry in the store and in its responses to health
 * checks. The entry may be late, and only the instances whose connections broke check the health. So the instance that
 * hears of a warm-up first tells all others directly.
 */
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import type {RecordWarmupOptions} from '@pomelopick/steering.servers';
import type {ServerWarmup} from './server-warmup-records.js';

/** Maximum number of servers whose warm-up waits to be told to the other instances; beyond it, the oldest are dropped. */
const MAX_UNTOLD = 256;

/** Options of {@link WarmupSharing}. */
export interface WarmupSharingOptions {
	/** Applies a statement; returns whether it is about a longer warm-up than was known. */
	readonly recordWarmup: (options: RecordWarmupOptions) => boolean;
	/** Called when a server is found to warm up for longer than was known; its attempts of which nothing was sent must be placed anew. */
	readonly onLonger: (server: BackendServerName) => void;
	/** Tells the records to all other instances. */
	readonly broadcast: (takeRecords: () => readonly ServerWarmup[]) => void;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Applies what servers and other instances report about warm-ups, and passes on what is new. */
export class WarmupSharing {
	readonly #options: WarmupSharingOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #untold = new Map<BackendServerName, ServerWarmup>();

	constructor(options: WarmupSharingOptions) {
		this.#options = options;
	}

	/** Applies the statement in a response to a health check. */
	hear(warmup: ServerWarmup): void {
		if (!this.#record({warmup, detail: 'stated in a response to a health check'})) {
			return;
		}

		this.#untold.delete(warmup.name);
		this.#untold.set(warmup.name, warmup);
		if (this.#untold.size > MAX_UNTOLD) {
			this.#untold.delete(this.#untold.keys().next().value!);
		}

		this.#options.broadcast(() => this.#takeUntold());
	}

	/** Applies what another instance heard. */
	receive(warmup: ServerWarmup): void {
		if (this.#record({warmup, detail: 'reported by another instance'})) {
			this.#options.counters.add('warmup.learned-from-instance');
		}
	}

	#record({warmup: {name, startedAtMs, warmupLeftMs}, detail}: {readonly warmup: ServerWarmup; readonly detail: string}): boolean {
		const {recordWarmup, onLonger, log, now} = this.#options;
		const nowMs = now();
		const isNew = recordWarmup({server: {name, startedAtMs}, warmupLeftMs, nowMs});
		if (isNew && this.#logLimiter.tryAcquire({key: name, nowMs})) {
			log.line('server-warms-up', {
				subject: name, detail, warmupLeftMs: Math.round(warmupLeftMs), startedAtMs,
			});
		}

		if (isNew) {
			onLonger(name);
		}

		return isNew;
	}

	#takeUntold(): readonly ServerWarmup[] {
		const records = [...this.#untold.values()];
		this.#untold.clear();
		return records;
	}
}
