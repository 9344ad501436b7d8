/** Handles the requests of operators: `GET /v1/status`, `GET /v1/explain` and `GET /v1/events`. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseRequestTarget} from '@pomelopick/core.types';
import type {CallId, Refusal} from '@pomelopick/core.types';
import type {Counters, EventRecord} from '@pomelopick/core.telemetry';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import type {ConfigurationHolder} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import type {LookupView} from './lookup-view.js';
import {explain} from './operators/explain.js';
import {readExplainRequest} from './operators/explain-request.js';
import type {ExplainSources} from './operators/explain-sources.js';
import {createStatus} from './operators/status.js';

const MAX_EVENTS = 1000;

/** Options of {@link handleOperator}. */
export interface HandleOperatorOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly settings: Settings;
	readonly holder: ConfigurationHolder;
	readonly counters: Counters;
	readonly events: EventRecord;
	readonly lookup: LookupView;
	readonly sources: ExplainSources;
	readonly callsInProgress: () => number;
	/** Whether this instance watches the key-value service for the others of its failure domain. */
	readonly isWatcher: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Responds to one request of an operator. */
export function handleOperator(options: HandleOperatorOptions): void {
	const {request, response} = options;
	const url = parseRequestTarget(request.url);
	const route = routes[url.pathname];
	request.resume();
	if (!route || request.method !== 'GET') {
		const expected = Object.keys(routes).map(path => `GET ${path}`).join(', ');
		refuse({response, refusal: {reason: 'bad-request', execution: 'not-run', detail: `expected ${expected}; found ${request.method} ${url.pathname}`}});
		return;
	}

	route({options, parameters: url.searchParams});
}

type Route = (request: {readonly options: HandleOperatorOptions; readonly parameters: URLSearchParams}) => void;

const routes: Readonly<Record<string, Route>> = {
	'/v1/status'({options}) {
		sendJson({
			response: options.response, document: createStatus({
				...options, callsInProgress: options.callsInProgress(), isWatcher: options.isWatcher(), nowMs: options.now(),
			}),
		});
	},
	'/v1/explain'({options, parameters}) {
		const {response, settings, lookup, sources, now} = options;
		readExplainRequest({parameters, view: options.holder.view}).caseOf({
			Left(refusal) {
				refuse({response, refusal});
			},
			Right(checked) {
				sendJson({
					response, document: explain({
						...checked, instance: settings.instance, failureDomain: settings.failureDomain, lookup, sources, nowMs: now(),
					}),
				});
			},
		});
	},
	'/v1/events'({options, parameters}) {
		const after = Number(parameters.get('after') ?? 0);
		if (!Number.isSafeInteger(after) || after < 0) {
			const found = JSON.stringify(parameters.get('after'));
			refuse({response: options.response, refusal: {reason: 'bad-request', execution: 'not-run', detail: `after: expected a sequence number, found ${found}`}});
			return;
		}

		sendJson({response: options.response, document: options.events.list({after}).slice(-MAX_EVENTS)});
	},
};

function sendJson({response, document}: {readonly response: ServerResponse; readonly document: unknown}): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(document));
}

function refuse({response, refusal}: {readonly response: ServerResponse; readonly refusal: Refusal}): void {
	sendRefusal({response, id: randomUUID(), refusal});
}
