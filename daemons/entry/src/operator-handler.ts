/** Answers operators: `GET /v1/status` and `GET /v1/events`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Counters, EventRecord} from '@pomelopick/core.telemetry';
import type {ConfigurationHolder} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import type {LookupView} from './lookup-view.js';

/** Options of {@link answerOperator}. */
export interface AnswerOperatorOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly settings: Settings;
	readonly holder: ConfigurationHolder;
	readonly counters: Counters;
	readonly events: EventRecord;
	readonly lookup: LookupView;
	/** Whether this instance watches the key-value service for the others of its failure domain. */
	readonly isWatcher: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Answers one operator request. */
export function answerOperator({request, response, settings, holder, counters, events, lookup, isWatcher, now}: AnswerOperatorOptions): void {
	const url = new URL(request.url ?? '/', 'http://entry');
	const {view} = holder;
	const answers: Record<string, () => unknown> = {
		'/v1/status': () => ({
			instance: settings.instance,
			failureDomain: settings.failureDomain,
			configurationVersion: view?.configuration.root.version,
			viewAgeMs: view && Math.round(now() - view.confirmedAtMs),
			newestKnownVersion: holder.newestKnown,
			isWatcher: isWatcher(),
			instances: lookup.members.map(({instance: {id, state}, alive, isolated, load}) => ({
				id, state, alive, isolated, load,
			})),
			counters: counters.snapshot(),
			memoryBytes: process.memoryUsage().rss,
		}),
		'/v1/events': () => events.list({after: Number(url.searchParams.get('after') ?? 0)}),
	};
	const answer = answers[url.pathname];
	response.writeHead(answer ? 200 : 404, {'content-type': 'application/json'});
	response.end(JSON.stringify(answer ? answer() : {error: `nothing at ${url.pathname}`}));
}
