/** Parses the target of a caller's request. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Counters} from '@pomelopick/core.telemetry';
import type {CallId} from '@pomelopick/core.types';
import {sendRefusal} from '@pomelopick/calls.forwarding';

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/u;
const MAX_QUOTED_CHARACTERS = 200;

/** Target of a request: a call of a service, another path, or no valid target. */
export type RequestTarget =
	| {readonly kind: 'call'; readonly serviceName: string; readonly path: string}
	| {readonly kind: 'other'}
	| {readonly kind: 'malformed'};

/** Parses a request target in origin form (RFC 9112, section 3.2.1). */
export function parseTarget(target: string): RequestTarget {
	if (!URL.canParse(target, 'http://entry') || !target.startsWith('/')) {
		return {kind: 'malformed'};
	}

	const match = SERVICE_PATH.exec(target);
	if (!match) {
		return {kind: 'other'};
	}

	const serviceName = decode(match[1]!);
	return serviceName === undefined ? {kind: 'malformed'} : {kind: 'call', serviceName, path: `${match[2] ?? '/'}${match[3] ?? ''}`};
}

/** Refuses a request whose target is malformed. */
export function refuseBadTarget({request, response, counters}: {readonly request: IncomingMessage; readonly response: ServerResponse; readonly counters: Counters}): void {
	counters.refused('bad-request');
	const found = JSON.stringify((request.url ?? '').slice(0, MAX_QUOTED_CHARACTERS));
	sendRefusal({response, id: randomUUID(), refusal: {reason: 'bad-request', execution: 'not-run', detail: `target: expected a path in origin form, found ${found}`}});
}

function decode(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}
