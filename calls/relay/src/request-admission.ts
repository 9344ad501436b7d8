/** Applies the admission decisions to relayed requests, where the configuration or the servers of a service call for them. */
import type {RefusalReason, ServerLoad, ServiceName} from '@pomelopick/core.types';
import type {AdmissionTable, DeadlineCheck} from '@pomelopick/steering.admission';
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {PlacementEstimate, PlacementRefusal} from '@pomelopick/steering.objects';
import type {RelayedRequest} from './relayed-request.js';

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
	readonly admissions: AdmissionTable;
	readonly deadlines: DeadlineCheck;
	/** Whether the servers of a service report how long work takes at the moment. */
	readonly reportsWorkFactor: (service: ServiceName) => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Reasons why no server took a request because all of them have too much to do. */
const closedReasons: ReadonlySet<RefusalReason> = new Set(['backend-paused', 'backend-rate-limited']);

/** Decides on a request for which a server was found; returns its refusal, or undefined if it may be sent. */
export type AdmitPlacement = (estimate: PlacementEstimate) => PlacementRefusal | undefined;

/** Decides which requests are sent to the server that was chosen for them. */
export class RequestAdmission {
	readonly #options: RequestAdmissionOptions;

	constructor(options: RequestAdmissionOptions) {
		this.#options = options;
	}

	/** The decision on a request; undefined: none is made. */
	decisionFor(request: RelayedRequest): AdmitPlacement | undefined {
		const {identity, service} = request.options;
		return identity !== undefined || this.#options.reportsWorkFactor(service) ? estimate => this.#decide({request, estimate}) : undefined;
	}

	/** Records that no server took the request for now. */
	recordUnplaced({request, refusal: {reason}}: {readonly request: RelayedRequest; readonly refusal: PlacementRefusal}): void {
		const {identity, service} = request.options;
		if (identity !== undefined && request.admission === undefined && closedReasons.has(reason)) {
			const nowMs = this.#options.now();
			this.#options.admissions.get({service, nowMs}).recordUnplaced(nowMs);
		}
	}

	/** Records how an attempt at a server ended. */
	recordEnd({request, end, load}: {readonly request: RelayedRequest; readonly end: SlotEnd; readonly load: ServerLoad | undefined}): void {
		const {identity, service} = request.options;
		// A server that rejects requests although it has free slots does not show that capacity is short.
		const isShort = end === 'shed' && (load === undefined || load.running >= load.slots);
		if (identity !== undefined && (end === 'answered' || isShort)) {
			const nowMs = this.#options.now();
			this.#options.admissions.get({service, nowMs}).recordSend({isRejected: isShort, nowMs});
		}
	}

	#decide({request, estimate}: {readonly request: RelayedRequest; readonly estimate: PlacementEstimate}): PlacementRefusal | undefined {
		const {admissions, deadlines, now, random} = this.#options;
		const {service, route, identity, answerByMs, arrivedAtMs} = request.options;
		const nowMs = now();
		const randomNumber = random();
		const admission = identity && admissions.get({service, nowMs});
		const isFirst = request.admission === undefined;
		request.admission = {
			waitMs: Math.round(estimate.waitMs), workMs: Math.round(estimate.expectedMs - estimate.waitMs), leftMs: Math.round(answerByMs - nowMs), pressure: admission?.pressure(nowMs),
		};
		const deadlineRefusal = deadlines.check({
			service, route: route.name, reliableTimes: estimate.reliableTimes, deadlineMs: answerByMs, isRetry: request.attempts.length > 0, nowMs, random: randomNumber,
		});
		// A request that was admitted keeps its place when it is placed again.
		return admission && isFirst
			? admission.decide({
				service,
				priority: route.priority,
				holder: identity.organisation?.name ?? '',
				estimate,
				targetMs: route.targetLatencyMs,
				targetLeftMs: arrivedAtMs + route.targetLatencyMs - nowMs,
				earlierRefusal: deadlineRefusal,
				nowMs,
				random: randomNumber,
			})
			: deadlineRefusal;
	}
}
