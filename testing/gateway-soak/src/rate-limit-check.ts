/** Checks that the gateways together keep the rate limits that servers name in their responses. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';
import type {TracedCall, Violation} from './call-check.js';
import type {Disturbance} from './notice-check.js';

/** Time after a server first named its limit from which it applies, in milliseconds. */
const CONTACT_MS = 3000;
/** Time after a gateway relayed a response with the limit from which its requests count, in milliseconds. */
const TOLD_GRACE_MS = 500;
const WINDOW_MS = 4000;
const MILLISECONDS_PER_SECOND = 1000;
/** A window may contain this multiple of what the limit allows in it, and this many requests more. */
const OVERAGE = 1.5;
const SLACK = 5;
/** Faults of a gateway that excuse its requests: restarts, freezes, and being cut off. */
const excusingFaults: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause', 'store-path-cut']);

/** Options of {@link checkRateLimits}. */
export interface CheckRateLimitsOptions {
	readonly calls: readonly TracedCall[];
	readonly arrivals: readonly ArrivalRecord[];
	/** Faults of gateways; their requests do not count in windows near a fault. */
	readonly disturbances: readonly Disturbance[];
}

/** Requests to a server with a limit in the window in which it got the most, measured by what was allowed. */
export interface RateLimitUse {
	readonly server: string;
	/** Highest limit that applied in the window, in requests per second. */
	readonly requestsPerSecond: number;
	/** Requests that count: of gateways that knew the limit. */
	readonly counted: number;
	readonly allowed: number;
	/** All requests in the window. */
	readonly all: number;
	/** The requests that count: their gateways, and their times since the server first named the limit, in milliseconds. */
	readonly counts: readonly string[];
}

/** An arrival with the gateway that sent it. */
interface SentArrival extends ArrivalRecord {
	readonly instance: string;
}

/** A time in which all responses of a server named a limit. */
interface LimitedPeriod {
	readonly arrivals: readonly SentArrival[];
	readonly fromMs: number;
	readonly toMs: number;
	/** Time at which each gateway first relayed a response with the limit, in milliseconds. */
	readonly toldAtMs: ReadonlyMap<string, number>;
}

/** Returns the worst window of each server that named a limit for long enough. */
export function findRateLimitUse({calls, arrivals, disturbances}: CheckRateLimitsOptions): readonly RateLimitUse[] {
	const callsById = new Map(calls.map(call => [call.answer.requestId, call]));
	const byServer = groupBy(
		arrivals.flatMap((arrival): readonly SentArrival[] => {
			const call = callsById.get(arrival.requestId);
			return call ? [{...arrival, instance: call.instance}] : [];
		}),
		({server}) => server,
	);
	return [...byServer].flatMap(([server, sent]) => {
		const uses = listPeriods({sent, callsById}).flatMap(period => listWindows({server, period, disturbances}));
		const [worst] = uses.toSorted((left, right) => (right.counted - right.allowed) - (left.counted - left.allowed));
		return worst ? [worst] : [];
	});
}

/** Returns a violation for each server that got more requests than its limit allows. */
export function checkRateLimits(options: CheckRateLimitsOptions): readonly Violation[] {
	return findRateLimitUse(options).filter(({counted, allowed}) => counted > allowed).map(({server, requestsPerSecond, counted, allowed, all, counts}) => ({
		requestId: '',
		kind: 'rate-limit',
		detail: `${server} named ${requestsPerSecond} requests a second and got ${counted} in ${WINDOW_MS} ms from gateways that knew, ${all} in all; allowed ${allowed}: ${counts.join(', ')}`,
	}));
}

function listPeriods({sent, callsById}: {readonly sent: readonly SentArrival[]; readonly callsById: ReadonlyMap<string, TracedCall>}): readonly LimitedPeriod[] {
	const periods: LimitedPeriod[] = [];
	let arrivals: SentArrival[] = [];
	const close = (): void => {
		if (arrivals.length > 0) {
			periods.push({
				arrivals, fromMs: arrivals[0]!.atMs, toMs: arrivals.at(-1)!.atMs, toldAtMs: findToldTimes({arrivals, callsById}),
			});
		}

		arrivals = [];
	};

	for (const arrival of sent) {
		if (arrival.rateLimit === undefined) {
			close();
		} else if (arrivals.length > 0 || Number(arrival.rateLimit) >= 0) {
			arrivals.push(arrival);
		}
	}

	close();
	return periods;
}

function findToldTimes({arrivals, callsById}: {readonly arrivals: readonly SentArrival[]; readonly callsById: ReadonlyMap<string, TracedCall>}): ReadonlyMap<string, number> {
	const times = new Map<string, number>();
	for (const {requestId, server, instance} of arrivals) {
		const {answer, answeredAtMs} = callsById.get(requestId)!;
		const isRelayed = answer.headers['server-limit'] !== undefined && answer.headers['x-server-stamp'] === `${server}.${requestId}`;
		if (isRelayed) {
			times.set(instance, Math.min(answeredAtMs, times.get(instance) ?? answeredAtMs));
		}
	}

	return times;
}

/** Windows that end at each arrival of a period. */
function listWindows({server, period, disturbances}: {readonly server: string; readonly period: LimitedPeriod; readonly disturbances: readonly Disturbance[]}): readonly RateLimitUse[] {
	const {arrivals, fromMs, toldAtMs} = period;
	return arrivals.flatMap(({atMs: endMs}): readonly RateLimitUse[] => {
		const startMs = Math.max(fromMs + CONTACT_MS, endMs - WINDOW_MS);
		const limits = arrivals.filter(({atMs}) => atMs > startMs - CONTACT_MS && atMs <= endMs).map(({rateLimit}) => Number(rateLimit)).filter(limit => limit >= 0);
		if (endMs < startMs || limits.length === 0) {
			return [];
		}

		const inWindow = arrivals.filter(({atMs}) => atMs > endMs - WINDOW_MS && atMs >= startMs && atMs <= endMs);
		const counted = inWindow.filter(({instance, atMs}) => atMs >= (toldAtMs.get(instance) ?? Number.POSITIVE_INFINITY) + TOLD_GRACE_MS
			&& !isDisturbed({
				disturbances, instance, fromMs: startMs - CONTACT_MS, toMs: endMs,
			}));
		const requestsPerSecond = Math.max(...limits);
		return [{
			server,
			requestsPerSecond,
			counted: counted.length,
			allowed: Math.floor((OVERAGE * requestsPerSecond * WINDOW_MS / MILLISECONDS_PER_SECOND) + SLACK),
			all: inWindow.length,
			counts: counted.map(({instance, atMs}) => `${instance} at ${Math.round(atMs - fromMs)}`),
		}];
	});
}

function isDisturbed({disturbances, instance, fromMs, toMs}: {readonly disturbances: readonly Disturbance[]; readonly instance: string; readonly fromMs: number; readonly toMs: number}): boolean {
	return disturbances.some(({subject, fault, fromMs: beganMs, toMs: endedMs}) => subject === instance && excusingFaults.has(fault) && beganMs <= toMs && endedMs >= fromMs);
}
