/** Renders what the logs tell for a person. */
import {findCause} from './find-cause.js';
import type {LoggedAttempt, LogLine} from './log-line.js';
import type {BeliefNote, RequestStory, ServerRecord} from './request-story.js';

/** Renders the story of one line of a request. */
export function formatStory(story: RequestStory): string {
	const {request, attempts, servers, instanceNotes} = story;
	return [
		formatEnd(request),
		`  route ${request.route ?? '-'}, service ${request.service ?? '-'}, object ${request.object ?? '-'}`,
		`  configuration ${request.configurationVersion ?? '-'}, view ${request.viewAgeMs ?? '-'} ms old`,
		...attempts.map((attempt, index) => `  attempt ${index + 1}, ${formatAttempt(attempt)}`),
		`cause: ${findCause(story)}`,
		...servers.flatMap(server => formatServer(server)),
		...(instanceNotes.length > 0 ? [`${request.instance} before:`] : []),
		...instanceNotes.map(line => `  ${formatLine(line)}`),
	].join('\n');
}

/** How a request ended, and in which of the time that it had. */
function formatEnd({atMs, instance, outcome = '', reason, execution = 'unknown', totalMs = 0, allowedMs = 0, endedBy}: LogLine): string {
	const refusal = reason === undefined ? '' : ` as ${reason}, execution ${execution}`;
	const ender = endedBy === undefined ? '' : `, ended by its ${endedBy}`;
	return `${formatTime(atMs)} ${instance}: ${outcome}${refusal}, after ${totalMs} of ${allowedMs} ms${ender}`;
}

function formatAttempt({server, why, startedAfterMs, heldMs, outcome = 'still under way'}: LoggedAttempt): string {
	return `from ${startedAfterMs} ms on for ${heldMs ?? '?'} ms: ${server} (${why}): ${outcome}`;
}

function formatServer({server, answered, medianMs, othersMedianMs, failures, changes}: ServerRecord): readonly string[] {
	const failed = [...failures].map(([reason, count]) => `${count} ${reason}`).join(', ');
	const median = medianMs === undefined ? '' : `, median of the route ${medianMs} ms`;
	const others = othersMedianMs === undefined ? '' : `, at other servers ${othersMedianMs} ms`;
	return [
		`${server} with other requests, 5 s before and after: ${answered} answered${median}${others}; not answered: ${failed === '' ? 'none' : failed}`,
		...changes.map(change => `  ${formatChange(change)}`),
	];
}

function formatChange({atMs, event, detail, instances}: BeliefNote): string {
	return `${formatTime(atMs)} ${event}, told by ${instances} ${instances === 1 ? 'instance' : 'instances'}: ${detail}`;
}

/** Renders any line: its time, instance, event and what it is about, then how a request ended, or the fields of its own. */
export function formatLine({atMs, instance, event, subject, requestId, service, server, outcome, reason, detail, totalMs, others = {}}: LogLine): string {
	const about = subject ?? requestId ?? service;
	const time = totalMs === undefined ? undefined : `${totalMs} ms`;
	const parts = [
		formatTime(atMs), instance, event, about, server, outcome, reason, time, detail, ...Object.entries(others).map(([name, value]) => `${name}=${value}`),
	];
	return parts.filter(part => part !== undefined && part !== '').join(' ');
}

function formatTime(atMs: number): string {
	return new Date(atMs).toISOString();
}
