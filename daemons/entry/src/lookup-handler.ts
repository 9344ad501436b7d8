/** Handles `GET /v1/entries?service=NAME[&client=IP]`, which lists the entry instances for a client. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isIP} from 'node:net';
import {parseRequestTarget} from '@pomelopick/core.types';
import type {CallId, Refusal} from '@pomelopick/core.types';
import type {Counters} from '@pomelopick/core.telemetry';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import type {ConfigurationView} from '@pomelopick/config.distribution';
import type {LookupView} from './lookup-view.js';

const CACHE_SECONDS = 2;

/** Options of {@link handleLookup}. */
export interface HandleLookupOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly lookup: LookupView;
	readonly view: ConfigurationView | undefined;
	readonly counters: Counters;
	readonly now: () => number;
}

/** Responds to a look-up, or refuses it with a problem document. */
export function handleLookup({request, response, lookup, view, counters, now}: HandleLookupOptions): void {
	const url = parseRequestTarget(request.url);
	const service = url.searchParams.get('service') ?? '';
	const client = url.searchParams.get('client') ?? request.socket.remoteAddress ?? '';
	const refusal = findRefusal({
		request, url, service, client, lookup, view,
	});
	if (refusal) {
		request.resume();
		counters.refused(refusal.reason);
		sendRefusal({response, id: randomUUID(), refusal});
		return;
	}

	const entries = lookup.entriesFor(client).map(({id, failureDomain, callers}) => ({instance: id, failureDomain, ...callers}));
	response.writeHead(200, {'content-type': 'application/json', 'cache-control': `max-age=${CACHE_SECONDS}`});
	response.end(JSON.stringify({
		service,
		site: lookup.findSite(client),
		entries,
		maxAgeSeconds: CACHE_SECONDS,
		configurationVersion: view?.configuration.root.version,
		viewAgeMs: view && Math.round(now() - view.confirmedAtMs),
	}));
}

interface FindRefusalOptions {
	readonly request: IncomingMessage;
	readonly url: URL;
	readonly service: string;
	readonly client: string;
	readonly lookup: LookupView;
	readonly view: ConfigurationView | undefined;
}

function findRefusal({request, url, service, client, lookup, view}: FindRefusalOptions): Refusal | undefined {
	if (url.pathname !== '/v1/entries' || request.method !== 'GET') {
		return {reason: 'bad-request', execution: 'not-run', detail: `expected GET /v1/entries or any method on /v1/services/NAME/, found ${request.method} ${url.pathname}`};
	}

	if (isIP(client) === 0) {
		return {reason: 'bad-request', execution: 'not-run', detail: `client: expected an IP address, found ${JSON.stringify(client)}`};
	}

	if (!view) {
		return {
			reason: 'configuration-missing', execution: 'not-run', detail: 'this instance has not received a configuration yet', retryAfterMs: 1000,
		};
	}

	if (!lookup.hasService(service)) {
		return {reason: 'unknown-service', execution: 'not-run', detail: `service: expected the name of a configured service, found ${JSON.stringify(service)}`};
	}

	return undefined;
}
