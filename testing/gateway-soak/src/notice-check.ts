/** Checks that gateways respect the announcements of servers: that a server leaves, or that it wants a pause without requests. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import type {TracedCall, Violation} from './call-check.js';

/** Time after which a gateway must send no more calls to a server once it has relayed a response that announced that the server leaves, in milliseconds. */
const DRAIN_MS = 2000;
/** Time after a server asked for a pause in which requests may still arrive, in milliseconds, and maximum number of requests that may arrive later in the pause. */
const PAUSE_GRACE_MS = 500;
const MAX_ARRIVALS_IN_PAUSE = 2;

/** Period in which a fault affected a gateway or the path to a server. */
export interface Disturbance {
	/** Name of the gateway or server. */
	readonly subject: string;
	readonly fault: string;
	/** Monotonic times of start and end, in milliseconds. */
	readonly fromMs: number;
	readonly toMs: number;
}

/** Options of {@link checkNotices}. */
export interface CheckNoticesOptions {
	readonly calls: readonly TracedCall[];
	readonly arrivals: readonly ArrivalRecord[];
	/** Faults that excuse violations at the same time. */
	readonly disturbances: readonly Disturbance[];
}

/** An arrival with the call that it is part of. */
interface TracedArrival {
	readonly arrival: ArrivalRecord;
	readonly call: TracedCall;
}

interface CheckTracedOptions extends Pick<CheckNoticesOptions, 'disturbances'> {
	readonly traced: readonly TracedArrival[];
}

/** Faults by which a gateway loses its state or stops running. */
const stateLosingFaults: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause']);

/** Returns a violation for requests that were sent to a leaving server or during a pause. */
export function checkNotices({calls, arrivals, disturbances}: CheckNoticesOptions): readonly Violation[] {
	const byId = new Map(calls.map(call => [call.answer.requestId, call]));
	const traced = arrivals.flatMap((arrival): readonly TracedArrival[] => {
		const call = byId.get(arrival.requestId);
		return call ? [{arrival, call}] : [];
	});
	return [...checkLeaving({traced, disturbances}), ...checkPauses({traced, disturbances})];
}

function checkLeaving({traced, disturbances}: CheckTracedOptions): readonly Violation[] {
	const relayed = traced.filter(({arrival, call: {answer}}) => arrival.leaving !== undefined && isLeavingRelayed({answer, server: arrival.server}));
	return traced.flatMap(({arrival, call: {instance, sentAtMs}}): readonly Violation[] => {
		const earlier = relayed.find(({arrival: {server, leaving}, call}) => call.instance === instance && server === arrival.server && leaving === arrival.leaving
			&& sentAtMs > call.answeredAtMs + DRAIN_MS
			&& !isExcused({
				disturbances, subjects: [instance], fromMs: call.answeredAtMs, toMs: arrival.atMs,
			}));
		return earlier
			? [{
				requestId: arrival.requestId,
				kind: 'sent-to-leaving',
				detail: `${instance} sent a request to ${arrival.server} ${Math.round(sentAtMs - earlier.call.answeredAtMs)} ms after relaying that it leaves`,
			}]
			: [];
	});
}

function checkPauses({traced, disturbances}: CheckTracedOptions): readonly Violation[] {
	return traced.flatMap(({arrival: pauseRequest, call: {instance}}): readonly Violation[] => {
		const endMs = pauseRequest.atMs + (pauseRequest.pauseMs ?? 0);
		const inPause = traced.filter(({arrival, call}) => call.instance === instance && arrival.server === pauseRequest.server
			&& arrival.atMs > pauseRequest.atMs + PAUSE_GRACE_MS && arrival.atMs < endMs);
		const isViolated = inPause.length > MAX_ARRIVALS_IN_PAUSE && !isExcused({
			disturbances, subjects: [instance, pauseRequest.server], fromMs: pauseRequest.atMs, toMs: endMs,
		});
		return isViolated
			? [{
				requestId: pauseRequest.requestId,
				kind: 'sent-in-pause',
				detail: `${inPause.length} requests of ${instance} reached ${pauseRequest.server}, which had asked for a pause of ${Math.round(pauseRequest.pauseMs!)} ms`,
			}]
			: [];
	});
}

/** Returns whether a fault of a subject overlaps a period and excuses violations in it: faults of paths delay data, and some faults of gateways lose state. */
interface IsExcusedOptions {
	readonly disturbances: readonly Disturbance[];
	readonly subjects: readonly string[];
	readonly fromMs: number;
	readonly toMs: number;
}

function isExcused({disturbances, subjects, fromMs, toMs}: IsExcusedOptions): boolean {
	return disturbances.some(({subject, fault, fromMs: beganMs, toMs: endedMs}) => subjects.includes(subject)
		&& (stateLosingFaults.has(fault) || fault.startsWith('path-')) && beganMs <= toMs && endedMs >= fromMs);
}

/** Returns whether a response was sent by the server and announces that the server leaves. */
function isLeavingRelayed({answer: {requestId, headers}, server}: {readonly answer: TracedCall['answer']; readonly server: string}): boolean {
	return headers['server-leaving'] === '1' && headers['x-server-stamp'] === `${server}.${requestId}`;
}
