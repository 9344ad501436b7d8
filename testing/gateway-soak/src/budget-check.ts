/** Checks the bounds on further servers of a request, and on the time that servers are told, against what servers and callers saw. */
import type {ArrivalRecord, ExecutionRecord} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';
import type {TracedCall, Violation} from './call-check.js';
import type {Disturbance} from './notice-check.js';

/** Requests that may run on more servers than their route allows. */
const MAX_WIDE_REQUESTS = 3;
/** Time that servers may be told beyond what is left, in milliseconds; a further arrival counts as late after the same time. */
const TIME_SLACK_MS = 500;
/** Requests that may be passed on with too much time, and the share of them among these and those that were sent once more so late. */
const MAX_LENIENT_REQUESTS = 20;
const MAX_LENIENT_SHARE = 0.2;
/** Time after a disturbance for which a gateway is not in touch and a path counts as harmed, in milliseconds. */
const CONTACT_MS = 3000;

/** Faults that excuse a gateway. Those of the store are left out, as the time that is left does not depend on it. */
const gatewayFaults: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause', 'port-taken']);

/** Options of {@link checkAttempts} and {@link checkTimes}. */
export interface CheckBudgetOptions {
	readonly calls: readonly TracedCall[];
	readonly arrivals: readonly ArrivalRecord[];
	readonly executions: readonly ExecutionRecord[];
	readonly disturbances: readonly Disturbance[];
	/** Maximum number of servers of a request. */
	readonly maxAttempts: number;
}

/** Returns a violation if too many requests ran on more servers than their route allows; servers that were cut off meanwhile are not counted. */
export function checkAttempts({calls, executions, disturbances, maxAttempts}: CheckBudgetOptions): readonly Violation[] {
	const runs = groupBy(executions, ({requestId}) => requestId);
	const wide = calls.filter(({sentAtMs, answer: {requestId}}) => {
		const ofRequest = runs.get(requestId) ?? [];
		const toMs = Math.max(...ofRequest.map(({atMs}) => atMs));
		const servers = new Set(ofRequest.map(({server}) => server).filter(server => !isDisturbed({
			disturbances, subject: server, faults: isPathFault, fromMs: sentAtMs, toMs,
		})));
		return servers.size > maxAttempts;
	});
	const ids = wide.map(({answer: {requestId}}) => requestId);
	return ids.length > MAX_WIDE_REQUESTS
		? [{requestId: ids[0]!, kind: 'max-attempts', detail: `${ids.length} requests ran on more than ${maxAttempts} servers: ${ids.join(' ')}`}]
		: [];
}

/** Returns a violation if servers were told too often that more time is left than the caller or the first attempt had. */
export function checkTimes({calls, arrivals, disturbances}: Pick<CheckBudgetOptions, 'calls' | 'arrivals' | 'disturbances'>): readonly Violation[] {
	const byRequest = groupBy(arrivals, ({requestId}) => requestId);
	const lenient = new Map<string, string>();
	const late = new Set<string>();
	for (const call of calls) {
		const {answer: {requestId}, instance, sentAtMs, timeLeftMs} = call;
		const [first, ...further] = byRequest.get(requestId) ?? [];
		if (!first) {
			continue;
		}

		const callerEndMs = sentAtMs + timeLeftMs;
		for (const arrival of [first, ...further]) {
			const isUndisturbed = !isDisturbed({
				disturbances, subject: instance, faults: fault => gatewayFaults.has(fault), fromMs: sentAtMs - CONTACT_MS, toMs: arrival.atMs,
			}) && ![first, arrival].some(({server}) => isDisturbed({
				disturbances, subject: server, faults: isPathFault, fromMs: sentAtMs - CONTACT_MS, toMs: arrival.atMs,
			}));
			const isLate = arrival !== first && arrival.atMs > first.atMs + TIME_SLACK_MS;
			if (isUndisturbed && isLate) {
				late.add(requestId);
			}

			const excess = findExcess({
				arrival, first, isLate, timeLeftMs, callerEndMs,
			});
			if (isUndisturbed && excess !== undefined) {
				lenient.set(requestId, `${requestId} at ${arrival.server}: ${excess}`);
			}
		}
	}

	const counted = new Set([...lenient.keys(), ...late]).size;
	return lenient.size > MAX_LENIENT_REQUESTS && lenient.size > MAX_LENIENT_SHARE * counted
		? [{requestId: [...lenient.keys()][0]!, kind: 'time-handed', detail: `${lenient.size} of ${counted} requests were passed on with more time than was left: ${[...lenient.values()].join('; ')}`}]
		: [];
}

interface FindExcessOptions {
	readonly arrival: ArrivalRecord;
	readonly first: ArrivalRecord;
	readonly isLate: boolean;
	readonly timeLeftMs: number;
	/** Monotonic time of the caller's deadline, in milliseconds. */
	readonly callerEndMs: number;
}

/** Says by what a server was told too much time; undefined if it was not. */
function findExcess({arrival, first, isLate, timeLeftMs, callerEndMs}: FindExcessOptions): string | undefined {
	if (arrival.timeLeftMs === undefined || Number.isNaN(arrival.timeLeftMs)) {
		return 'no time was told';
	}

	if (arrival.timeLeftMs > timeLeftMs + TIME_SLACK_MS) {
		return `${arrival.timeLeftMs} ms were told, the caller has ${timeLeftMs}`;
	}

	const beyondMs = arrival.atMs + arrival.timeLeftMs - Math.max(callerEndMs, first.atMs + (first.timeLeftMs ?? 0));
	return isLate && beyondMs > TIME_SLACK_MS ? `ends ${Math.round(beyondMs)} ms after the first attempt and the caller's deadline` : undefined;
}

interface IsDisturbedOptions {
	readonly disturbances: readonly Disturbance[];
	readonly subject: string;
	readonly faults: (fault: string) => boolean;
	readonly fromMs: number;
	readonly toMs: number;
}

function isDisturbed({disturbances, subject: disturbed, faults, fromMs, toMs}: IsDisturbedOptions): boolean {
	return disturbances.some(({subject, fault, fromMs: beganMs, toMs: endedMs}) => subject === disturbed && faults(fault) && beganMs <= toMs && endedMs >= fromMs);
}

function isPathFault(fault: string): boolean {
	return fault.startsWith('path-');
}
