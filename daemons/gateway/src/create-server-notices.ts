/** Creates and wires the parts that apply what backend servers state in the heads of their responses. */
import type {ProbeResponseHead} from '@pomelopick/calls.connections';
import {ServerNotices} from '@pomelopick/calls.relay';
import type {ServerNoticesOptions} from '@pomelopick/calls.relay';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName} from '@pomelopick/core.types';
import {platformHeaders} from '@pomelopick/platform.wire';
import type {ObservationTable, ServerContacts} from '@pomelopick/steering.servers';
import type {RateLimitParts} from './create-rate-limits.js';

const SERVICE_UNAVAILABLE = 503;

/** Options of {@link createServerNotices}. */
export interface CreateServerNoticesOptions extends Pick<ServerNoticesOptions, 'format' | 'servers' | 'leaving' | 'pauses' | 'unsent'> {
	readonly observations: ObservationTable;
	readonly contacts: ServerContacts;
	readonly rateLimitParts: Pick<RateLimitParts, 'rateLimits' | 'sharing' | 'warmupSharing'>;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Response to a health check. */
export interface ReceivedHealthAnswer {
	/** Server that was asked. */
	readonly name: BackendServerName;
	readonly head: ProbeResponseHead;
	/** Monotonic time at which the check began, in milliseconds. */
	readonly sentAtMs: number;
}

/** The parts that are used from outside. */
export interface ServerNoticeParts {
	readonly notices: ServerNotices;
	/** Applies the response to a health check, unless another server gave it. */
	readonly readHealthAnswer: (answer: ReceivedHealthAnswer) => void;
}

/** Creates the parts. */
export function createServerNotices({format, servers, leaving, pauses, unsent, observations, contacts, rateLimitParts, counters, log, now}: CreateServerNoticesOptions): ServerNoticeParts {
	const {rateLimits, sharing, warmupSharing} = rateLimitParts;
	const notices = new ServerNotices({
		format,
		servers,
		leaving,
		pauses,
		hasRateLimit: server => rateLimits.requestsPerSecond(server) !== undefined,
		hearRateLimit(heard) {
			sharing.hear(heard);
		},
		hearWarmup(warmup) {
			warmupSharing.hear(warmup);
		},
		hearLoad({server, load}) {
			observations.get(server).recordHealth({load, nowMs: now()});
		},
		unsent,
		counters,
		log,
		now,
		wallClockMs: () => Date.now(),
	});
	return {
		notices,
		readHealthAnswer({name, head, sentAtMs}) {
			const known = servers.findEntry(name);
			const statedName = head.headers[platformHeaders.answeringServer];
			// A server that rejects a health check may leave its name out.
			const respondingName = statedName ?? (head.status === SERVICE_UNAVAILABLE ? name : undefined);
			if (!known || respondingName !== name) {
				return;
			}

			notices.read({server: known.server, head});
			if (statedName === name && contacts.confirm({server: known.server, sinceMs: sentAtMs})) {
				counters.add('contact.confirmed');
				log.line('contact-confirmed', {subject: name, detail: 'it answered a health check', startedAtMs: known.server.startedAtMs});
			}
		},
	};
}
