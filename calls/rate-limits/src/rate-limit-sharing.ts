/**
 * Shares the rate limits that servers name between the instances.
 *
 * A server names its limit only in the responses to the instance that sent a request, but the limit applies to all
 * instances. So the instance that hears a limit first tells all others directly, and the owner of the server keeps a
 * record in the store for instances that start later. Smaller changes of a limit reach only the owner, with the next
 * request for a permit.
 */
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {
	HearRateLimitOptions, KeepRateLimitOptions, NamedRateLimits, RateLimitRecord, ServerStart,
} from '@pomelopick/steering.servers';

/** Ratio of two limits from which the change is told to all instances. */
const TOLD_RATIO = 1.25;
/** Maximum number of records that wait to be told to the other instances; beyond it, the oldest are dropped. */
const MAX_UNTOLD = 256;

/** Options of {@link RateLimitSharing}. */
export interface RateLimitSharingOptions {
	readonly rateLimits: NamedRateLimits;
	/** Tells the records to all other instances. */
	readonly broadcast: (listRecords: () => readonly RateLimitRecord[]) => void;
	/** Called with each record that is newer than what was known, whoever reported it. */
	readonly onNewRecord: (record: RateLimitRecord) => void;
	/** Called when a server is found to have a limit. */
	readonly onLimited: (server: ServerStart) => void;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds. */
	readonly wallClock: () => number;
}

/** Options of {@link RateLimitSharing.hear}. */
export interface HearOptions extends Pick<HearRateLimitOptions, 'server' | 'requestsPerSecond' | 'sentAtMs'> {
	/** Where the limit was found, for the log. */
	readonly detail: string;
}

/** Options of {@link RateLimitSharing.receive}. */
export interface ReceiveOptions {
	readonly record: RateLimitRecord;
	readonly source: 'instance' | 'store';
}

/** Applies what servers and other instances report about rate limits, and passes on what is new. */
export class RateLimitSharing {
	readonly #options: RateLimitSharingOptions;
	readonly #logLimiter = new LogRateLimiter();
	/** Records that the other instances have not been told yet, by server. */
	readonly #untold = new Map<string, RateLimitRecord>();
	/** Limit that was last told to all instances, by server, as far as this instance knows. */
	readonly #toldRates = new Map<string, number | undefined>();

	constructor(options: RateLimitSharingOptions) {
		this.#options = options;
	}

	/** Applies the limit in a response, or its absence. */
	hear({detail, ...heard}: HearOptions): void {
		const {rateLimits, counters, now, wallClock} = this.#options;
		const wasLimited = rateLimits.requestsPerSecond(heard.server) !== undefined;
		const record = rateLimits.hear({...heard, nowMs: now(), wallClockMs: wallClock()});
		if (!record) {
			return;
		}

		counters.add(record.requestsPerSecond === undefined ? 'server-notice.rate-limit-ended' : 'server-notice.rate-limit');
		this.#apply({record, wasLimited, detail});
		if (this.#differsFromTold(record)) {
			this.#tell(record);
		}
	}

	/** Applies a record that another instance sent or wrote to the store. */
	receive({record, source}: ReceiveOptions): void {
		const {rateLimits, counters, now} = this.#options;
		const wasLimited = rateLimits.requestsPerSecond(record) !== undefined;
		if (!rateLimits.receive({record, nowMs: now()})) {
			return;
		}

		counters.add(`rate-limit.learned-from-${source}`);
		this.#toldRates.set(record.name, record.requestsPerSecond);
		this.#apply({record, wasLimited, detail: source === 'store' ? 'read in the store' : 'told by another instance'});
	}

	/** Keeps the limit of a server that has started anew if the new start named it before its entry was known. */
	keepForStart(options: KeepRateLimitOptions): void {
		const record = this.#options.rateLimits.keepForStart(options);
		if (record) {
			this.#options.counters.add('rate-limit.kept-for-start');
			this.#apply({record, wasLimited: false, detail: 'named before the entry of this start was known'});
		}
	}

	/** Removes the state of a server. */
	forget(server: string): void {
		this.#toldRates.delete(server);
	}

	#apply({record, wasLimited, detail}: {readonly record: RateLimitRecord; readonly wasLimited: boolean; readonly detail: string}): void {
		const {onNewRecord, onLimited} = this.#options;
		const isLimited = record.requestsPerSecond !== undefined;
		this.#log({record, detail});
		if (isLimited && !wasLimited) {
			onLimited(record);
		}

		onNewRecord(record);
	}

	#log({record: {name, startedAtMs, requestsPerSecond, version}, detail}: {readonly record: RateLimitRecord; readonly detail: string}): void {
		const {log, now} = this.#options;
		const event = requestsPerSecond === undefined ? 'rate-limit-ended' : 'rate-limit-named';
		if (this.#logLimiter.tryAcquire({key: `${name} ${event}`, nowMs: now()})) {
			log.line(event, {
				subject: name, detail, requestsPerSecond, startedAtMs, version,
			});
		}
	}

	/** Whether a record differs so much from what all instances were told that they must be told again. */
	#differsFromTold({name, requestsPerSecond}: RateLimitRecord): boolean {
		const toldRate = this.#toldRates.get(name);
		if (requestsPerSecond === undefined || toldRate === undefined) {
			return true;
		}

		return Math.max(requestsPerSecond, toldRate) > Math.min(requestsPerSecond, toldRate) * TOLD_RATIO;
	}

	#tell(record: RateLimitRecord): void {
		this.#toldRates.set(record.name, record.requestsPerSecond);
		this.#untold.set(record.name, record);
		if (this.#untold.size > MAX_UNTOLD) {
			this.#untold.delete(this.#untold.keys().next().value!);
		}

		this.#options.broadcast(() => {
			const records = [...this.#untold.values()];
			this.#untold.clear();
			return records;
		});
	}
}
