/** Processes notices in the response headers of backend servers: that a server is leaving, asks for a pause in requests, warms up, or names a rate limit. */
import type {HearOptions, ServerWarmup} from '@pomelopick/calls.rate-limits';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {
	CodedError, RegisteredServer, RetryReason, ServerLoad,
} from '@pomelopick/core.types';
import type {
	LeavingServers, RequestedPauses, ServerStart, ServerTable,
} from '@pomelopick/steering.servers';
import type {RelayFormat} from './relay-format.js';
import type {UnsentAttempts} from './unsent-attempts.js';

const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
/** Maximum number of characters of a malformed value that a log line quotes. */
const MAX_QUOTED_LENGTH = 40;

/** Options of {@link ServerNotices}. */
export interface ServerNoticesOptions {
	readonly format: Pick<RelayFormat, 'headers' | 'decodeServerLoad' | 'decodeServerLeaving' | 'decodeRetryAfter' | 'decodeRateLimit' | 'decodeWarmupLeft'>;
	readonly servers: ServerTable;
	readonly leaving: LeavingServers;
	readonly pauses: RequestedPauses;
	/** Whether a server named a rate limit that has not ended. */
	readonly hasRateLimit: (server: ServerStart) => boolean;
	/** Applies the rate limit in a response, or its absence. */
	readonly hearRateLimit: (options: HearOptions) => void;
	/** Applies the warm-up that a server states in a response to a health check. */
	readonly hearWarmup: (warmup: ServerWarmup) => void;
	/** Applies the load that a server states in a response to a health check. */
	readonly hearLoad: (options: {readonly server: RegisteredServer; readonly load: ServerLoad}) => void;
	/** Attempts that are recalled when their server leaves or asks for a pause. */
	readonly unsent: UnsentAttempts;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Wall-clock time, in milliseconds. */
	readonly wallClockMs: () => number;
}

/** Options of {@link ServerNotices.read}. */
export interface ReadNoticesOptions {
	/** Server to which the request was sent. */
	readonly server: RegisteredServer;
	readonly head: {readonly status: number; readonly headers: Readonly<Record<string, string | string[] | undefined>>};
	/** The request that was sent; undefined for a health check. */
	readonly request?: {
		readonly id: string;
		/** Monotonic time at which it was sent, in milliseconds. */
		readonly sentAtMs: number;
	};
}

interface RecordRateLimitOptions {
	readonly server: RegisteredServer;
	readonly status: number;
	/** Undefined: the response names no limit. */
	readonly requestsPerSecond: number | undefined;
	/** Monotonic time at which the request was sent, in milliseconds; undefined: unknown. */
	readonly sentAtMs: number | undefined;
}

/** Reads and records the notices of servers. */
export class ServerNotices {
	readonly #options: ServerNoticesOptions;
	readonly #pauseLogLimiter = new LogRateLimiter();
	readonly #malformedLogLimiter = new LogRateLimiter();

	constructor(options: ServerNoticesOptions) {
		this.#options = options;
	}

	/** Reads the notices in the head of a response, whether or not the response is used. */
	read({server, head: {status, headers}, request}: ReadNoticesOptions): void {
		const {format: {headers: names, decodeServerLeaving, decodeRetryAfter, decodeRateLimit, decodeWarmupLeft}, hasRateLimit, hearWarmup} = this.#options;
		const leaving = headers[names.serverLeaving];
		if (leaving !== undefined) {
			decodeServerLeaving(String(leaving)).ifLeft(error => {
				this.#logMalformed({server, error});
			}).ifRight(() => {
				this.#recordLeaving({server, status});
			});
		}

		const retryAfter = headers[names.retryAfter];
		if (retryAfter !== undefined && status === SERVICE_UNAVAILABLE) {
			decodeRetryAfter(String(retryAfter)).ifLeft(error => {
				this.#logMalformed({server, error});
			}).ifRight(pauseMs => {
				this.#recordPause({server, pauseMs, sentAtMs: request?.sentAtMs});
			});
		}

		const warmupLeft = headers[names.warmupLeft];
		if (warmupLeft !== undefined && request === undefined) {
			decodeWarmupLeft(String(warmupLeft)).ifLeft(error => {
				this.#logMalformed({server, error});
			}).ifRight(warmupLeftMs => {
				hearWarmup({name: server.name, startedAtMs: server.startedAtMs, warmupLeftMs});
			});
		}

		const load = headers[names.serverLoad];
		if (load !== undefined && request === undefined) {
			this.#readHealthLoad({server, text: String(load)});
		}

		const rateLimit = headers[names.rateLimit];
		if (rateLimit !== undefined) {
			decodeRateLimit(String(rateLimit)).ifLeft(error => {
				this.#logMalformed({server, error});
			}).ifRight(requestsPerSecond => {
				this.#recordRateLimit({
					server, status, requestsPerSecond, sentAtMs: request?.sentAtMs,
				});
			});
		} else if (request && hasRateLimit(server) && headers[names.answerStamp] !== undefined && headers[names.requestId] === request.id) {
			this.#recordRateLimit({
				server, status, requestsPerSecond: undefined, sentAtMs: request.sentAtMs,
			});
		}
	}

	/** Counts and logs what follows the known values of a load report and is ignored. */
	reportIgnoredLoad({server, text}: {readonly server: RegisteredServer; readonly text: string}): void {
		this.#logMalformed({server, error: {message: `${this.#options.format.headers.serverLoad}: ignored ${JSON.stringify(text.slice(0, MAX_QUOTED_LENGTH))} after the first three values`}});
	}

	#readHealthLoad({server, text}: {readonly server: RegisteredServer; readonly text: string}): void {
		const load = this.#options.format.decodeServerLoad(text);
		if (load?.ignoredText !== undefined) {
			this.reportIgnoredLoad({server, text: load.ignoredText});
		}

		if (load) {
			this.#options.hearLoad({server, load});
		}
	}

	#recordLeaving({server, status}: {readonly server: RegisteredServer; readonly status: number}): void {
		const {leaving, unsent, counters, log} = this.#options;
		for (const start of this.#findRespondingStarts({server, status})) {
			if (leaving.record(start)) {
				counters.add('server-notice.leaving');
				log.line('server-leaves', {subject: start.name, detail: `the server announced it in a response with status ${status}`, startedAtMs: start.startedAtMs});
				this.#recall({
					unsent, server: start, reason: 'backend-leaving', detail: 'the server announced that it is leaving',
				});
			}
		}
	}

	#recordPause({server, pauseMs, sentAtMs}: {readonly server: RegisteredServer; readonly pauseMs: number; readonly sentAtMs: number | undefined}): void {
		const {pauses, unsent, counters, log, now, wallClockMs} = this.#options;
		const nowMs = now();
		for (const start of this.#findRespondingStarts({server, status: SERVICE_UNAVAILABLE})) {
			const isPaused = pauses.endMs({server: start, nowMs}) !== undefined;
			const untilMs = pauses.record({
				server: start, pauseMs, nowMs, respondedAtMs: wallClockMs(),
			});
			counters.add('server-notice.pause');
			if (isPaused) {
				counters.add('server-notice.pause-met');
			}

			if (this.#pauseLogLimiter.tryAcquire({key: start.name, nowMs})) {
				log.line('server-pauses', {
					subject: start.name,
					detail: `the server asked for a pause of ${Math.round(pauseMs)} ms`,
					pauseMs: Math.round(untilMs - nowMs),
					isRepeated: isPaused,
					sentBeforeMs: sentAtMs === undefined ? undefined : Math.round(nowMs - sentAtMs),
					startedAtMs: start.startedAtMs,
				});
			}

			this.#recall({
				unsent, server: start, reason: 'backend-shed', detail: 'the server asked for a pause',
			});
		}
	}

	#recordRateLimit({server, status, requestsPerSecond, sentAtMs = Number.NEGATIVE_INFINITY}: RecordRateLimitOptions): void {
		for (const start of this.#findRespondingStarts({server, status})) {
			this.#options.hearRateLimit({
				server: start, requestsPerSecond, sentAtMs, detail: `heard in a response with status ${status}`,
			});
		}
	}

	/**
	 * Returns the server starts that a response may come from: the start to which the request was sent and, if the server
	 * has restarted since, its current start. For a misdirected request, returns the other servers known at the address.
	 */
	#findRespondingStarts({server, status}: {readonly server: RegisteredServer; readonly status: number}): readonly ServerStart[] {
		const {servers} = this.#options;
		if (status === MISDIRECTED_REQUEST) {
			return servers.listAt(server).filter(({name}) => name !== server.name);
		}

		const current = servers.findEntry(server.name)?.server;
		return current && current.startedAtMs !== server.startedAtMs ? [server, current] : [server];
	}

	/** Aborts and counts the attempts at a server of which nothing was sent, so that they are retried elsewhere. */
	#recall({unsent, server, reason, detail}: {readonly unsent: UnsentAttempts; readonly server: ServerStart; readonly reason: RetryReason; readonly detail: string}): void {
		const recalled = unsent.recall({server: server.name, reason, detail});
		this.#options.counters.add('server-notice.recalled', recalled);
	}

	/** Counts and logs a notice that is malformed. */
	#logMalformed({server, error: {message}}: {readonly server: RegisteredServer; readonly error: Pick<CodedError, 'message'>}): void {
		const {counters, log, now} = this.#options;
		counters.add('server-notice.refused');
		if (this.#malformedLogLimiter.tryAcquire({key: server.name, nowMs: now()})) {
			log.line('server-notice-refused', {subject: server.name, detail: message});
		}
	}
}
