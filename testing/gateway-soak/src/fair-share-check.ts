/** Checks that one organisation that sends far more than usual does not take the service of the others. */
import {groupBy} from '@pomelopick/testing.history';
import type {TracedCall, Violation} from './call-check.js';

/** Part of the share of its requests served before that each other organisation keeps. */
const MIN_KEPT_SHARE = 0.95;
/** Minimum share of an organisation, relative to the mean of all. */
const MIN_RELATIVE_SHARE = 0.25;
/** Minimum number of requests in a period by which an organisation is judged: with fewer, one request more or less decides. */
const MIN_CALLS = 40;
const MIN_SUCCESS = 200;
const MIN_REDIRECTION = 300;

/** A call of an organisation. */
export interface OrganisationCall extends TracedCall {
	readonly organisation: string;
}

/** A period by monotonic times, in milliseconds. */
export interface SharePeriod {
	readonly fromMs: number;
	readonly toMs: number;
}

/** Options of {@link checkFairShares}. */
export interface CheckFairSharesOptions {
	readonly calls: readonly OrganisationCall[];
	/** Period with the usual load. */
	readonly before: SharePeriod;
	/** Period in which one organisation sends more. */
	readonly during: SharePeriod;
	/** The organisation that sends more. */
	readonly rising: string;
}

/** Returns a violation for each organisation that lost service to the one that rises, and for each with far less than the mean. */
export function checkFairShares({calls, before, during, rising}: CheckFairSharesOptions): readonly Violation[] {
	const sharesBefore = listShares({calls, period: before});
	const shares = listShares({calls, period: during});
	const mean = [...shares.values()].reduce((sum, share) => sum + share, 0) / Math.max(1, shares.size);
	return [...shares].flatMap(([organisation, share]): readonly Violation[] => {
		const shareBefore = sharesBefore.get(organisation);
		const hasLost = organisation !== rising && shareBefore !== undefined && share < MIN_KEPT_SHARE * shareBefore;
		const isFarBelow = share < MIN_RELATIVE_SHARE * mean;
		return [
			...(hasLost ? [toViolation(`${organisation} was served ${percent(share)} of its requests while ${rising} sent more, ${percent(shareBefore)} before`)] : []),
			...(isFarBelow ? [toViolation(`${organisation} was served ${percent(share)} of its requests, organisations on average ${percent(mean)}`)] : []),
		];
	});
}

/** Share of the requests of a period that were served, by organisation. */
function listShares({calls, period: {fromMs, toMs}}: {readonly calls: readonly OrganisationCall[]; readonly period: SharePeriod}): ReadonlyMap<string, number> {
	const inPeriod = calls.filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < toMs);
	const byOrganisation = [...groupBy(inPeriod, ({organisation}) => organisation)].filter(([, own]) => own.length >= MIN_CALLS);
	return new Map(byOrganisation.map(([organisation, own]) => [organisation, own.filter(call => isServed(call)).length / own.length]));
}

function isServed({answer: {status}}: OrganisationCall): boolean {
	return status >= MIN_SUCCESS && status < MIN_REDIRECTION;
}

function toViolation(detail: string): Violation {
	return {requestId: '', kind: 'unfair-share', detail};
}

function percent(share: number): string {
	return `${Math.round(share * 100)} %`;
}
