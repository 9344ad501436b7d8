/**
 * Refuses requests that their route's timeout or their deadline would cut off: work that is cut off takes capacity from
 * requests that could still be answered, and its caller gets nothing for it.
 */
import type {PlacementRefusal, ReliableTimes} from '@pomelopick/steering.objects';
import type {RouteName, ServiceName} from '@pomelopick/core.types';
import {findOrCreate} from './find-or-create.js';
import {ProbeSchedule} from './probe-schedule.js';
import {retryAfterMs} from './retry-after.js';

/** Options of {@link DeadlineCheck.check}. */
export interface CheckDeadlineOptions {
	readonly service: ServiceName;
	readonly route: RouteName;
	/** Expected times; undefined: they are unknown or doubtful. */
	readonly reliableTimes: ReliableTimes | undefined;
	/** Monotonic time by which the response must be complete, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether the request was sent before; another attempt at a server with a free slot is not refused. */
	readonly isRetry: boolean;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
	/** Number from 0 up to 1. */
	readonly random: number;
}

/** Compares the expected times of requests with the time left. */
export class DeadlineCheck {
	readonly #probes = new Map<string, ProbeSchedule>();

	/** Returns the refusal of a request that cannot be answered in time; undefined if it may be sent. */
	check({service, route, reliableTimes, deadlineMs, isRetry, nowMs, random}: CheckDeadlineOptions): PlacementRefusal | undefined {
		const leftMs = deadlineMs - nowMs;
		const excessMs = reliableTimes ? reliableTimes.waitMs + reliableTimes.workMs - leftMs : 0;
		const probes = findOrCreate({map: this.#probes, key: `${service}\0${route}`, create: () => new ProbeSchedule()});
		if (!reliableTimes || excessMs <= 0) {
			probes.recordPassed(nowMs);
			return undefined;
		}

		const isImmediateRetry = isRetry && reliableTimes.waitMs === 0;
		if (isImmediateRetry || probes.tryPass(nowMs)) {
			return undefined;
		}

		return {
			reason: 'deadline-unreachable',
			detail: `the expected wait of ${Math.round(reliableTimes.waitMs)} ms and the expected work of ${Math.round(reliableTimes.workMs)} ms at a backend server of ${service} exceed the ${Math.round(leftMs)} ms left`,
			retryAfterMs: retryAfterMs({untilRoomMs: excessMs, pressure: 0, random}),
		};
	}
}
