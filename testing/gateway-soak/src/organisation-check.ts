/** Checks that servers run requests as the organisation of their key, get no key, and get nothing for a key that was revoked. */
import type {ExecutionRecord} from '@pomelopick/testing.gateway-fleet';
import type {CallRecord, TracedCall, Violation} from './call-check.js';
import type {KeyPeriod} from './keyring.js';
import type {Disturbance} from './notice-check.js';

/** Time within which a change of the configuration takes effect, in milliseconds, as the users specify it. */
const APPLY_MS = 3000;
/** Time after a fault in which a gateway reads the store again, in milliseconds. */
const RECOVERY_MS = 5000;
const UNAUTHORISED = 401;

/** Faults by which an instance does not hear of a new version. All that strike the store strike all instances. */
const delayingFaults: ReadonlySet<string> = new Set(['kill', 'kill-series', 'terminate', 'pause', 'port-taken', 'reload']);

/** Options of {@link checkOrganisations}. */
export interface CheckOrganisationsOptions {
	readonly calls: ReadonlyArray<CallRecord & Partial<Pick<TracedCall, 'instance'>>>;
	readonly executions: readonly ExecutionRecord[];
	readonly periods: readonly KeyPeriod[];
	/** Faults during which a new version may take effect later. */
	readonly disturbances: readonly Disturbance[];
}

/** Returns all violations. Calls without a key are not judged. */
export function checkOrganisations({calls, executions, periods, disturbances}: CheckOrganisationsOptions): readonly Violation[] {
	const byId = new Map(calls.map(call => [call.answer.requestId, call]));
	const byKey = new Map(periods.map(period => [period.key, period]));
	return [
		...calls.flatMap(({key, answer: {requestId, status}}): readonly Violation[] => {
			const isLasting = key !== undefined && byKey.get(key)?.fromMs === Number.NEGATIVE_INFINITY;
			return isLasting && status === UNAUTHORISED ? [{requestId, kind: 'valid-key-refused', detail: key}] : [];
		}),
		...executions.flatMap(execution => {
			const call = byId.get(execution.requestId);
			const period = call?.key === undefined ? undefined : byKey.get(call.key);
			return call && period ? checkExecution({execution, period, endMs: latestEndMs({period, instance: call.instance, disturbances})}) : [];
		}),
	];
}

function checkExecution({execution, period, endMs}: {readonly execution: ExecutionRecord; readonly period: KeyPeriod; readonly endMs: number}): readonly Violation[] {
	const {requestId, server, organisation, credentials, atMs} = execution;
	return [
		...(credentials === undefined ? [] : [{requestId, kind: 'key-passed-on' as const, detail: `${server} received ${credentials}`}]),
		...(organisation === period.organisation ? [] : [{requestId, kind: 'wrong-organisation' as const, detail: `${server} ran it as ${organisation ?? 'none'}, the key is of ${period.organisation}`}]),
		...(atMs <= endMs ? [] : [{requestId, kind: 'revoked-key-served' as const, detail: `${server} got it ${Math.round(atMs - period.toMs)} ms after its key was revoked`}]),
	];
}

/** Latest monotonic time at which a request with a key may arrive at a server, in milliseconds. */
function latestEndMs({period: {toMs}, instance, disturbances}: {readonly period: KeyPeriod; readonly instance: string | undefined; readonly disturbances: readonly Disturbance[]}): number {
	if (disturbances.some(({fault, toMs: endMs}) => fault === 'store-returns-older' && endMs > toMs)) {
		// The key is valid again in the older copy.
		return Number.POSITIVE_INFINITY;
	}

	const delaying = disturbances.filter(({fault, subject}) => fault.startsWith('store-') || (subject === instance && delayingFaults.has(fault)));
	let endMs = toMs + APPLY_MS;
	for (const disturbance of delaying.toSorted((left, right) => left.fromMs - right.fromMs)) {
		if (disturbance.toMs >= toMs - RECOVERY_MS && disturbance.fromMs <= endMs) {
			endMs = Math.max(endMs, disturbance.toMs + RECOVERY_MS);
		}
	}

	return endMs;
}
