/** Checks what servers ran of an organisation's requests against its quota, over sliding windows. */
import {guaranteesNotRun, largestInWindow, quotaBound} from '@pomelopick/testing.gateway-fleet';
import type {FleetOrganisation, QuotaCall, RunRecords} from '@pomelopick/testing.gateway-fleet';
import type {Violation} from './call-check.js';

/** Options of {@link checkQuota}. */
export interface CheckQuotaOptions {
	readonly organisation: FleetOrganisation;
	readonly calls: readonly QuotaCall[];
	readonly records: RunRecords;
}

/** Returns a violation if any window exceeds the bound, and one for each request that ran although its status guarantees that it did not. */
export function checkQuota({organisation, calls, records}: CheckQuotaOptions): readonly Violation[] {
	const largest = largestInWindow({organisation, calls, records});
	const bound = quotaBound(organisation);
	const ran = new Set(records.executions.map(({requestId}) => requestId));
	const denied = calls.filter(({requestId, status}) => guaranteesNotRun(status) && ran.has(requestId));
	return [
		...(largest > bound ? [{requestId: '', kind: 'quota' as const, detail: `${largest} requests of ${organisation.name} in a window, allowed are ${bound.toFixed(1)}`}] : []),
		...denied.map(({requestId, status}) => ({requestId, kind: 'ran-though-refused' as const, detail: `status ${status}`})),
	];
}
