/**
 * Collects what the logs of all gateways say about one request: its own line, state changes of its backend servers and its
 * instance, and the outcomes of other requests at the same servers.
 */
import type {LoggedAttempt, LogLine} from './log-line.js';

/** How long before a request's arrival changes of its servers and its instance are included, in milliseconds. */
const LOOK_BACK_MS = 30_000;
/** Other requests are compared if they ended at most this long before or after the request, in milliseconds. */
const COMPARISON_WINDOW_MS = 5000;
const MEDIAN_QUANTILE = 0.5;

/** Outcomes of other requests at a backend server around the time of the analysed request. */
export interface ServerSummary {
	readonly server: string;
	/** Number of requests of any route that the server answered. */
	readonly answered: number;
	/** Median response times of the request's route at this server and at other servers, in milliseconds; undefined without any response. */
	readonly medianMs: number | undefined;
	readonly othersMedianMs: number | undefined;
	/** Number of requests that were not answered, by reason. */
	readonly failures: ReadonlyMap<string, number>;
	/** Changes in the instances' view of the server, each with the number of instances that logged it. */
	readonly changes: readonly ServerChange[];
}

/** A change in the view of a server, which several instances may have logged. */
export interface ServerChange {
	/** Time of the first instance's line, in milliseconds since the epoch. */
	readonly atMs: number;
	readonly event: string;
	readonly detail: string;
	readonly instances: number;
}

/** What the logs say about one log line of a request. */
export interface RequestAnalysis {
	/** The request's own line. */
	readonly request: LogLine;
	readonly attempts: readonly LoggedAttempt[];
	readonly servers: readonly ServerSummary[];
	/** How other requests of the service ended at any instance around then: answered, and not, by reason. */
	readonly serviceOutcomes: ReadonlyMap<string, number>;
	/** Earlier lines of the instance that handled the request: start and stop, store, configuration and routes, evacuations. */
	readonly instanceNotes: readonly LogLine[];
}

/** Events of an instance that affect all its requests. */
const instanceEvents: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'stopped',
	'settings-reloaded',
	'store-lost',
	'store-regained',
	'store-read',
	'record-lapsed',
	'routes-in-force',
	'routes-refused',
	'routes-read-in-part',
	'evacuation-begun',
	'evacuation-ended',
	'request-lines-left-out',
]);

/** Analyses each log line of a request; a request that arrived at several instances has several lines. */
export function analyseRequest({lines, requestId}: {readonly lines: readonly LogLine[]; readonly requestId: string}): readonly RequestAnalysis[] {
	return lines.filter(line => line.event === 'request' && line.requestId === requestId).map(request => {
		const attempts = listAttempts(request);
		return {
			request,
			attempts,
			servers: [...new Set(attempts.map(({server}) => server))].map(server => summarizeServer({lines, request, server})),
			serviceOutcomes: countOutcomes({lines, request}),
			instanceNotes: lines.filter(line => line.instance === request.instance && instanceEvents.has(line.event) && isWithinLookBack({line, request})),
		};
	});
}

function listAttempts({tried, server, why, totalMs, outcome, detail}: LogLine): readonly LoggedAttempt[] {
	if (tried !== undefined || server === undefined) {
		return tried ?? [];
	}

	return [{
		server, why: why ?? '', startedAfterMs: 0, heldMs: totalMs, outcome: detail ?? outcome,
	}];
}

/** Other requests that ended around the same time. */
function listCompared({lines, request}: {readonly lines: readonly LogLine[]; readonly request: LogLine}): readonly LogLine[] {
	return lines.filter(line => line.event === 'request' && line.requestId !== request.requestId && Math.abs(line.atMs - request.atMs) <= COMPARISON_WINDOW_MS);
}

function countOutcomes({lines, request}: {readonly lines: readonly LogLine[]; readonly request: LogLine}): ReadonlyMap<string, number> {
	const sameService = listCompared({lines, request}).filter(({service}) => service !== undefined && service === request.service);
	const answered = sameService.filter(line => isAnswered(line)).length;
	return new Map([['answered', answered], ...countFailures(sameService)]);
}

function summarizeServer({lines, request, server}: {readonly lines: readonly LogLine[]; readonly request: LogLine; readonly server: string}): ServerSummary {
	const compared = listCompared({lines, request});
	const sameServer = compared.filter(line => line.server === server);
	const sameRoute = compared.filter(line => line.route === request.route);
	return {
		server,
		answered: sameServer.filter(line => isAnswered(line)).length,
		medianMs: medianResponseMs(sameRoute.filter(line => line.server === server)),
		othersMedianMs: medianResponseMs(sameRoute.filter(line => line.server !== server)),
		failures: countFailures(sameServer),
		changes: groupChanges(lines.filter(line => line.subject === server && isWithinLookBack({line, request}))),
	};
}

function isAnswered({outcome}: LogLine): boolean {
	return outcome?.startsWith('answered') ?? false;
}

/** Returns the median time of the answered requests, in milliseconds; undefined if none was answered. */
function medianResponseMs(requests: readonly LogLine[]): number | undefined {
	return medianOf(requests.filter(line => isAnswered(line)).map(({totalMs = 0}) => totalMs));
}

function countFailures(requests: readonly LogLine[]): ReadonlyMap<string, number> {
	const failures = new Map<string, number>();
	for (const {reason, outcome} of requests.filter(line => !isAnswered(line))) {
		const name = reason ?? outcome ?? 'unknown';
		failures.set(name, (failures.get(name) ?? 0) + 1);
	}

	return failures;
}

function isWithinLookBack({line, request}: {readonly line: LogLine; readonly request: LogLine}): boolean {
	return line.atMs <= request.atMs && request.atMs - line.atMs <= LOOK_BACK_MS + (request.totalMs ?? 0);
}

function medianOf(values: readonly number[]): number | undefined {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length * MEDIAN_QUANTILE)];
}

/** Merges equal changes that several instances logged. */
function groupChanges(lines: readonly LogLine[]): readonly ServerChange[] {
	const changes = new Map<string, ServerChange & {readonly reporters: Set<string>}>();
	for (const {atMs, event, detail = '', instance} of lines) {
		const key = `${event} ${detail}`;
		const change = changes.get(key) ?? {
			atMs, event, detail, instances: 0, reporters: new Set<string>(),
		};
		changes.set(key, {...change, instances: change.reporters.add(instance).size});
	}

	return [...changes.values()].map(({atMs, event, detail, instances}) => ({
		atMs, event, detail, instances,
	}));
}
