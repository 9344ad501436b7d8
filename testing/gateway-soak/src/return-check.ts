/** Checks that gateways learn of what the operator changes right after a return of the store from an older copy. */
import type {ArrivalRecord} from '@pomelopick/testing.gateway-fleet';
import type {TracedCall, Violation} from './call-check.js';
import type {Disturbance} from './notice-check.js';

/** Time after a return within which a gateway is in contact again, and has applied what was changed meanwhile, in milliseconds. */
export const APPLIED_MS = 5500;
/** Time for which a gateway may lag behind after a fault of its own, in milliseconds. */
const CONTACT_MS = 3000;
/** Faults of a gateway that excuse it for a time. */
const excusingFaults: ReadonlySet<string> = new Set(['kill', 'terminate', 'pause', 'own-end']);

/** A change of the operator, or of a server that leaves. */
export interface OperatorChange {
	readonly description: string;
	/** Names of the servers that get no requests from the change on. */
	readonly closedServers: readonly string[];
	/** Version of the configuration that is in force from the change on; undefined: it stays. */
	readonly version: number | undefined;
	/** Monotonic times of the change and of the time at which it is undone, in milliseconds. */
	readonly fromMs: number;
	readonly toMs: number;
}

/** A log line about a configuration that came into force. */
export interface VersionLine {
	readonly instance: string;
	/** Number of the gateway's process, which grows with each restart. */
	readonly process: number;
	readonly version: number;
	/** Monotonic time, in milliseconds. */
	readonly atMs: number;
}

/** Options of {@link checkReturns}. */
export interface CheckReturnsOptions {
	readonly changes: readonly OperatorChange[];
	readonly calls: readonly TracedCall[];
	readonly arrivals: readonly ArrivalRecord[];
	readonly versions: readonly VersionLine[];
	readonly instances: readonly string[];
	readonly disturbances: readonly Disturbance[];
}

/** Returns a violation for each request to a closed server, and for each gateway that misses a configuration or goes back to an earlier one. */
export function checkReturns(options: CheckReturnsOptions): readonly Violation[] {
	return [...options.changes.flatMap(change => [...findLateRequests({...options, change}), ...findMissedVersions({...options, change})]), ...findEarlierVersions(options)];
}

type CheckChangeOptions = CheckReturnsOptions & {readonly change: OperatorChange};

function findLateRequests({change: {description, closedServers, fromMs, toMs}, calls, arrivals, disturbances}: CheckChangeOptions): readonly Violation[] {
	const callsById = new Map(calls.map(call => [call.answer.requestId, call]));
	return arrivals.flatMap(({requestId, server, atMs}): readonly Violation[] => {
		const instance = callsById.get(requestId)?.instance;
		const isLate = closedServers.includes(server) && atMs > fromMs + APPLIED_MS && atMs < toMs;
		return isLate && instance !== undefined && !isExcused({disturbances, instance, atMs})
			? [{requestId, kind: 'missed-change', detail: `${instance} sent a request to ${server} ${Math.round(atMs - fromMs)} ms after ${description}`}]
			: [];
	});
}

function findMissedVersions({change: {description, version, fromMs}, versions, instances, disturbances}: CheckChangeOptions): readonly Violation[] {
	if (version === undefined) {
		return [];
	}

	const dueAtMs = fromMs + APPLIED_MS;
	return instances.flatMap((instance): readonly Violation[] => {
		const hasApplied = versions.some(line => line.instance === instance && line.version >= version && line.atMs <= dueAtMs);
		return hasApplied || isExcused({disturbances, instance, atMs: dueAtMs})
			? []
			: [{requestId: '', kind: 'missed-change', detail: `${instance} had no configuration from ${version} on in force ${APPLIED_MS} ms after ${description}`}];
	});
}

function findEarlierVersions({versions}: CheckReturnsOptions): readonly Violation[] {
	return versions.flatMap(({instance, process, version}, index): readonly Violation[] => {
		const later = versions.slice(index + 1).find(line => line.instance === instance && line.process === process && line.version < version);
		return later ? [{requestId: '', kind: 'went-back', detail: `${instance} went back from configuration ${version} to ${later.version}`}] : [];
	});
}

function isExcused({disturbances, instance, atMs}: {readonly disturbances: readonly Disturbance[]; readonly instance: string; readonly atMs: number}): boolean {
	return disturbances.some(({subject, fault, fromMs, toMs}) => subject === instance && excusingFaults.has(fault) && fromMs <= atMs && toMs >= atMs - CONTACT_MS);
}
