/** Explains in one sentence why a request ended as it did, from what the logs say about it. */
import type {RequestAnalysis, ServerSummary} from './request-analysis.js';

/** A server is called slow if its median time for the route is at least this multiple of that of other servers. */
const SLOW_FACTOR = 2;

/** Returns the cause of a request's outcome. */
export function findCause(analysis: RequestAnalysis): string {
	const {request: {outcome = '', reason, detail = ''}} = analysis;
	if (reason === undefined) {
		return outcome;
	}

	return causes[reason]?.(analysis) ?? detail;
}

/** Explanations of the reasons whose cause follows only from other log lines; for any other reason, the detail of the request's line is the cause. */
const causes: Readonly<Record<string, (analysis: RequestAnalysis) => string>> = {
	'deadline-exceeded': explainTimeout,
	'backend-failed': explainFailure,
	'queue-timeout': explainNoFreeSlot,
	'no-backend-server': explainNoFreeSlot,
	'deadline-unreachable': explainUnreachableDeadline,
	'capacity-short': explainShortCapacity,
	'organisation-share-exceeded': explainShortCapacity,
	'configuration-missing': explainMissingConfiguration,
	unauthorised: explainUnauthorised,
};

function explainTimeout({attempts, servers}: RequestAnalysis): string {
	const record = servers.at(-1);
	if (attempts.length === 0 || !record) {
		return 'the time was up before a backend server was found';
	}

	const {server, answered, medianMs, othersMedianMs} = record;
	if (answered === 0) {
		return `${server} did not answer in time, and answered no other request around then${listFailures(record)}: it had crashed, was unreachable or was paused`;
	}

	if (medianMs !== undefined && othersMedianMs !== undefined && medianMs >= othersMedianMs * SLOW_FACTOR) {
		return `${server} was slow: requests of the route took ${medianMs} ms at the median there around then, and ${othersMedianMs} ms at other servers`;
	}

	const median = medianMs === undefined ? '' : `, those of the route in ${medianMs} ms at the median`;
	return `${server} answered ${answered} other requests around then${median}: the response to this one was lost, or this one took longer to process`;
}

function explainFailure({attempts, servers}: RequestAnalysis): string {
	const outcomes = attempts.map(({server, outcome = 'still under way'}) => startsWithServer({server, text: outcome}) ? outcome : `${server}: ${outcome}`).join('; then ');
	const record = servers.at(-1);
	if (!record) {
		return outcomes;
	}

	const others = record.failures.size > 0 && record.answered === 0 ? 'it failed all other requests around then as well' : `it answered ${record.answered} other requests around then`;
	return `${outcomes}; of ${record.server}: ${others}${listFailures(record)}`;
}

/** Returns whether a text begins with the name of a server. */
function startsWithServer({server, text}: {readonly server: string; readonly text: string}): boolean {
	return text.startsWith(`${server}:`) || text.startsWith(`${server} `);
}

function explainNoFreeSlot({request: {detail = ''}, instanceNotes}: RequestAnalysis): string {
	const evacuation = instanceNotes.findLast(({event}) => event === 'evacuation-begun');
	return evacuation ? `${detail}; failure domain ${evacuation.subject ?? ''} was being evacuated` : detail;
}

function explainUnreachableDeadline(analysis: RequestAnalysis): string {
	const {detail = '', allowedMs, others = {}} = analysis.request;
	const {expectedWorkMs} = others;
	const isWorkTooLong = typeof expectedWorkMs === 'number' && allowedMs !== undefined && expectedWorkMs > allowedMs;
	return `${detail}; ${isWorkTooLong ? `the work alone exceeds the ${allowedMs} ms that the request had` : 'without the wait, it would have been answered in time'}${listOutcomes(analysis)}`;
}

function explainShortCapacity(analysis: RequestAnalysis): string {
	return `${analysis.request.detail ?? ''}${listOutcomes(analysis)}`;
}

/** How other requests of the service ended, as far as their lines were written. */
function listOutcomes({request: {service = 'the service'}, serviceOutcomes}: RequestAnalysis): string {
	return `; other requests of ${service} around then: ${[...serviceOutcomes].map(([outcome, count]) => `${count} ${outcome}`).join(', ')}`;
}

function explainMissingConfiguration({request, instanceNotes}: RequestAnalysis): string {
	const started = instanceNotes.findLast(({event}) => event === 'started');
	const lost = instanceNotes.findLast(({event}) => event === 'store-lost');
	return [
		request.detail ?? '',
		...(started ? [`the instance had started ${request.atMs - started.atMs} ms before`] : []),
		...(lost ? [`the store was unavailable to it: ${lost.detail ?? ''}`] : []),
	].join('; ');
}

function explainUnauthorised({request, instanceNotes}: RequestAnalysis): string {
	const changed = instanceNotes.findLast(({event}) => event === 'routes-in-force');
	return [
		request.detail ?? '',
		...(changed ? [`version ${changed.subject ?? ''} of the configuration had been in force for ${request.atMs - changed.atMs} ms`] : []),
	].join('; ');
}

function listFailures({failures}: ServerSummary): string {
	return failures.size === 0 ? '' : ` (${[...failures].map(([reason, count]) => `${count} ${reason}`).join(', ')})`;
}
