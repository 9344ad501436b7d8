/** Writes a log line for each request that ended, and records its duration as a metric. */
import {shortenFingerprint} from '@pomelopick/calls.quarantine';
import type {CallCounters, DecisionLog, LogFields} from '@pomelopick/core.telemetry';
import type {Refusal} from '@pomelopick/core.types';
import type {RelayedRequest} from './relayed-request.js';

const MIN_SERVER_FAILURE = 500;
const PRESSURE_DIGITS = 2;
/** Minimum time that an attempt waited for its connection for which a request with one attempt lists it, in milliseconds. */
const MIN_LISTED_WAIT_MS = 100;

/** Options of {@link RequestLog}. */
export interface RequestLogOptions {
	readonly log: DecisionLog;
	readonly counters: CallCounters;
	/** Version of the active routes; undefined until the first configuration is received. */
	readonly configurationVersion: () => number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Writes one log line for each request. */
export class RequestLog {
	readonly #options: RequestLogOptions;

	constructor(options: RequestLogOptions) {
		this.#options = options;
	}

	/** Logs that the complete response of a backend server was delivered. */
	answered({relayed, status}: {readonly relayed: RelayedRequest; readonly status: number}): void {
		this.#options.log.request(status < MIN_SERVER_FAILURE ? 'answered' : 'failed', {
			...this.#describe(relayed), outcome: `answered ${status}`, totalMs: this.#recordDuration({relayed, timing: 'answered-request'}),
		});
	}

	/** Logs that a response broke off after a part of it was delivered. */
	cut({relayed, detail}: {readonly relayed: RelayedRequest; readonly detail: string}): void {
		this.#options.log.request('failed', {
			...this.#describe(relayed), outcome: 'cut', detail, totalMs: this.#recordDuration({relayed, timing: 'answered-request'}),
		});
	}

	/** Logs that a request was refused, or aborted. */
	refused({relayed, refusal}: {readonly relayed: RelayedRequest; readonly refusal: Refusal}): void {
		this.#options.log.request('failed', {
			...this.#describe(relayed), ...describeRefusal(refusal), totalMs: this.#recordDuration({relayed, timing: 'refused-request'}),
		});
	}

	/** Logs that a request was refused before its service was chosen. */
	refusedEarly({id, refusal}: {readonly id: string; readonly refusal: Refusal}): void {
		this.#options.log.request('failed', {requestId: id, ...describeRefusal(refusal), configurationVersion: this.#options.configurationVersion()});
	}

	#describe({options, attempts, extraAttempts, admission, viewAgeMs, endedBy, callerLeftAtMs, knownFingerprint}: RelayedRequest): LogFields {
		const {id, route, service, identity, object, arrivedAtMs, answerByMs} = options;
		const last = attempts.at(-1);
		return {
			requestId: id,
			route: route.name,
			service,
			organisation: identity?.organisation?.name,
			object,
			fingerprint: knownFingerprint && shortenFingerprint(knownFingerprint),
			server: last?.server,
			why: last?.why,
			attempts: attempts.length,
			retries: extraAttempts.join(',') || undefined,
			tried: attempts.length > 1 || callerLeftAtMs !== undefined || (last?.waitedMs ?? 0) >= MIN_LISTED_WAIT_MS ? attempts.map(record => ({...record})) : undefined,
			viewAgeMs: Math.round(viewAgeMs),
			configurationVersion: this.#options.configurationVersion(),
			endedBy,
			callerLeftAfterMs: callerLeftAtMs === undefined ? undefined : Math.round(callerLeftAtMs - arrivedAtMs),
			expectedWaitMs: admission?.waitMs,
			expectedWorkMs: admission?.workMs,
			timeLeftMs: admission?.leftMs,
			pressure: admission?.pressure === undefined ? undefined : Number(admission.pressure.toFixed(PRESSURE_DIGITS)),
			allowedMs: Math.round(answerByMs - arrivedAtMs),
		};
	}

	/** Records the time since the request arrived as a metric, and returns it in whole milliseconds. */
	#recordDuration({relayed, timing}: {readonly relayed: RelayedRequest; readonly timing: 'answered-request' | 'refused-request'}): number {
		const totalMs = this.#options.now() - relayed.options.arrivedAtMs;
		this.#options.counters.timing(timing, totalMs);
		return Math.round(totalMs);
	}
}

function describeRefusal({reason, execution, detail, retryAfterMs}: Refusal): LogFields {
	return {
		outcome: 'refused', reason, execution, detail, retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
	};
}
