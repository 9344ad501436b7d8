/** Judges whether gateways kept to what servers said of themselves: that they leave, or want no requests for a while. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import type {TracedCall, Violation} from './judge.js';

/** Time after which a call reaches a server no more once its gateway passed on that the server leaves, in milliseconds. */
const DRAIN_MS = 2000;
/** Time after a pause was asked for in which requests may still arrive, and how many may after that. */
const PAUSE_GRACE_MS = 500;
const MOST_IN_PAUSE = 2;

/** A time at which something was wrong with a gateway, or with the path to a server. */
export interface Disturbance {
	/** Name of the gateway or server. */
	readonly subject: string;
	readonly fault: string;
	/** Monotonic times, in milliseconds. */
	readonly fromMs: number;
	readonly toMs: number;
}

/** Options of {@link judgeNotices}. */
export interface JudgeNoticesOptions {
	readonly calls: readonly TracedCall[];
	readonly arrivals: readonly ArrivalRecord[];
	/** What was wrong, and when. */
	readonly disturbances: readonly Disturbance[];
}

/** An arrival with the call that it is part of. */
interface TracedArrival {
	readonly arrival: ArrivalRecord;
	readonly call: TracedCall;
}

interface JudgeTracedOptions extends Pick<JudgeNoticesOptions, 'disturbances'> {
	readonly traced: readonly TracedArrival[];
}

/** Faults that take what it knows from a gateway, or stop its clock. */
const forgetting: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause']);

/** Lists what was sent though the server did not want it. */
export function judgeNotices({calls, arrivals, disturbances}: JudgeNoticesOptions): readonly Violation[] {
	const byId = new Map(calls.map(call => [call.answer.requestId, call]));
	const traced = arrivals.flatMap((arrival): readonly TracedArrival[] => {
		const call = byId.get(arrival.requestId);
		return call ? [{arrival, call}] : [];
	});
	return [...judgeLeaving({traced, disturbances}), ...judgePauses({traced, disturbances})];
}

function judgeLeaving({traced, disturbances}: JudgeTracedOptions): readonly Violation[] {
	const told = traced.filter(({arrival, call: {answer}}) => arrival.leaving !== undefined && isPassedOn({answer, server: arrival.server}));
	return traced.flatMap(({arrival, call: {instance, sentAtMs}}): readonly Violation[] => {
		const earlier = told.find(({arrival: {server, leaving}, call}) => call.instance === instance && server === arrival.server && leaving === arrival.leaving
			&& sentAtMs > call.answeredAtMs + DRAIN_MS
			&& !isExcused({
				disturbances, subjects: [instance], fromMs: call.answeredAtMs, toMs: arrival.atMs,
			}));
		return earlier ? [{requestId: arrival.requestId, kind: 'sent-to-leaving', detail: `${instance} had passed on that ${arrival.server} leaves ${Math.round(sentAtMs - earlier.call.answeredAtMs)} ms before`}] : [];
	});
}

function judgePauses({traced, disturbances}: JudgeTracedOptions): readonly Violation[] {
	return traced.flatMap(({arrival: asked, call: {instance}}): readonly Violation[] => {
		const endMs = asked.atMs + (asked.pauseMs ?? 0);
		const inPause = traced.filter(({arrival, call}) => call.instance === instance && arrival.server === asked.server && arrival.atMs > asked.atMs + PAUSE_GRACE_MS && arrival.atMs < endMs);
		const isBroken = inPause.length > MOST_IN_PAUSE && !isExcused({
			disturbances, subjects: [instance, asked.server], fromMs: asked.atMs, toMs: endMs,
		});
		return isBroken ? [{requestId: asked.requestId, kind: 'sent-in-pause', detail: `${inPause.length} requests of ${instance} reached ${asked.server}, which wanted none for ${Math.round(asked.pauseMs!)} ms`}] : [];
	});
}

/** Whether a disturbance of a subject excuses what happened in a time. Paths only hold up; gateways forget. */
function isExcused({disturbances, subjects, fromMs, toMs}: {readonly disturbances: readonly Disturbance[]; readonly subjects: readonly string[]; readonly fromMs: number; readonly toMs: number}): boolean {
	return disturbances.some(({subject, fault, fromMs: beganMs, toMs: endedMs}) => subjects.includes(subject)
		&& (forgetting.has(fault) || fault.startsWith('path-')) && beganMs <= toMs && endedMs >= fromMs);
}

/** Whether an answer is one that a server gave, and says that the server leaves. */
function isPassedOn({answer: {requestId, headers}, server}: {readonly answer: TracedCall['answer']; readonly server: string}): boolean {
	return headers['server-leaving'] === '1' && headers['x-server-stamp'] === `${server}.${requestId}`;
}
