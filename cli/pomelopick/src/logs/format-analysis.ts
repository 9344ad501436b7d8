/** Renders analysed requests and log lines as text. */
import {findCause} from './find-cause.js';
import type {LoggedAttempt, LogLine} from './log-line.js';
import type {ServerChange, RequestAnalysis, ServerSummary} from './request-analysis.js';

/** Renders the analysis of one log line of a request. */
export function formatAnalysis(analysis: RequestAnalysis): string {
	const {request, attempts, servers, instanceNotes} = analysis;
	return [
		formatOutcome(request),
		`  route ${request.route ?? '-'}, service ${request.service ?? '-'}, object ${request.object ?? '-'}${request.organisation === undefined ? '' : `, organisation ${request.organisation}`}`,
		`  configuration ${request.configurationVersion ?? '-'}, view ${request.viewAgeMs ?? '-'} ms old`,
		...attempts.map((attempt, index) => `  attempt ${index + 1}, ${formatAttempt(attempt)}`),
		`cause: ${findCause(analysis)}`,
		...servers.flatMap(server => formatServer(server)),
		...(instanceNotes.length > 0 ? [`${request.instance} before:`] : []),
		...instanceNotes.map(line => `  ${formatLine(line)}`),
	].join('\n');
}

/** Renders the outcome of a request and how much of its allowed time it took. */
function formatOutcome({atMs, instance, outcome = '', reason, execution = 'unknown', totalMs = 0, allowedMs = 0, endedBy}: LogLine): string {
	const refusal = reason === undefined ? '' : ` as ${reason}, execution ${execution}`;
	const ender = endedBy === undefined ? '' : `, ended by its ${endedBy}`;
	return `${formatTime(atMs)} ${instance}: ${outcome}${refusal}, after ${totalMs} of ${allowedMs} ms${ender}`;
}

function formatAttempt({server, why, startedAfterMs, heldMs, outcome = 'still under way'}: LoggedAttempt): string {
	return `from ${startedAfterMs} ms on for ${heldMs ?? '?'} ms: ${server} (${why}): ${outcome}`;
}

function formatServer({server, answered, medianMs, othersMedianMs, failures, changes}: ServerSummary): readonly string[] {
	const failed = [...failures].map(([reason, count]) => `${count} ${reason}`).join(', ');
	const median = medianMs === undefined ? '' : `, median of the route ${medianMs} ms`;
	const others = othersMedianMs === undefined ? '' : `, at other servers ${othersMedianMs} ms`;
	return [
		`${server} with other requests, 5 s before and after: ${answered} answered${median}${others}; not answered: ${failed === '' ? 'none' : failed}`,
		...changes.map(change => `  ${formatChange(change)}`),
	];
}

function formatChange({atMs, event, detail, instances}: ServerChange): string {
	return `${formatTime(atMs)} ${event}, told by ${instances} ${instances === 1 ? 'instance' : 'instances'}: ${detail}`;
}

/** Renders any log line: its time, instance, event and subject, then the outcome of a request or the fields that only this event has. */
export function formatLine({atMs, instance, event, subject, requestId, service, server, outcome, reason, detail, totalMs, others = {}}: LogLine): string {
	const target = subject ?? requestId ?? service;
	const time = totalMs === undefined ? undefined : `${totalMs} ms`;
	const parts = [
		formatTime(atMs), instance, event, target, server, outcome, reason, time, detail, ...Object.entries(others).map(([name, value]) => `${name}=${value}`),
	];
	return parts.filter(part => part !== undefined && part !== '').join(' ');
}

function formatTime(atMs: number): string {
	return new Date(atMs).toISOString();
}
