/** Handles `GET /v1/outcomes/KEY?service=NAME`, which returns the recorded outcome of a keyed call. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseRequestTarget} from '@pomelopick/core.types';
import type {
	CallId, Execution, Refusal, ServiceName,
} from '@pomelopick/core.types';
import {sendRefusal} from '@pomelopick/calls.forwarding';
import {readMintedAtMs, toKeyedResponse} from '@pomelopick/calls.journal';
import type {JournalKeyGuard} from '@pomelopick/calls.journal';
import {OutcomeState} from '@pomelopick/peer.protocol';
import type {ReadOutcomeResponse} from '@pomelopick/peer.protocol';

/** Path of a key's outcome. */
export const OUTCOME_PATH = /^\/v1\/outcomes\/[^/?]+(?:\?|$)/u;

const RETRY_AFTER_MS = 1000;

/** The recorded outcome of a keyed call. */
export interface OutcomeDocument {
	readonly key: string;
	readonly service: string;
	readonly state: 'absent' | 'in-flight' | 'unknown' | 'ran' | 'expired';
	readonly execution: Execution;
	/** The response, if the call ran and its body was small enough to be stored; the body is encoded in base64. */
	readonly answer?: {readonly status: number; readonly headers: Readonly<Record<string, string | string[]>>; readonly body: string};
}

/** Options of {@link handleOutcome}. */
export interface HandleOutcomeOptions {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly keyGuard: JournalKeyGuard;
}

/** Responds with an {@link OutcomeDocument}, or refuses with a problem document. */
export async function handleOutcome({request, response, keyGuard}: HandleOutcomeOptions): Promise<void> {
	const url = parseRequestTarget(request.url);
	const key = decodeKey(url.pathname);
	const service = url.searchParams.get('service') ?? '';
	request.resume();
	if (request.method !== 'GET' || service === '' || key === undefined) {
		refuse({response, refusal: {reason: 'bad-request', execution: 'not-run', detail: `expected GET /v1/outcomes/KEY?service=NAME, found ${request.method} ${request.url}`}});
		return;
	}

	const found = await keyGuard.readOutcome({key, service: service as ServiceName});
	if (!found || found.state === OutcomeState.UNAVAILABLE) {
		refuse({
			response, refusal: {
				reason: 'journal-unavailable', execution: 'unknown', detail: 'the outcome cannot be read now', retryAfterMs: RETRY_AFTER_MS,
			},
		});
		return;
	}

	response.writeHead(200, {'content-type': 'application/json', 'cache-control': 'no-store'});
	response.end(JSON.stringify(toDocument({key, service, found})));
}

function toDocument({key, service, found}: {readonly key: string; readonly service: string; readonly found: ReadOutcomeResponse}): OutcomeDocument {
	const answer = found.state === OutcomeState.RAN ? toKeyedResponse(found.outcome!) : undefined;
	return {
		key,
		service,
		...stateOf({key, found}),
		...(answer && {answer: {status: answer.status, headers: answer.headers, body: Buffer.from(answer.body).toString('base64')}}),
	};
}

function stateOf({key, found}: {readonly key: string; readonly found: ReadOutcomeResponse}): Pick<OutcomeDocument, 'state' | 'execution'> {
	switch (found.state) {
		case OutcomeState.RAN: {
			return {state: 'ran', execution: 'ran'};
		}

		case OutcomeState.IN_FLIGHT: {
			return {state: 'in-flight', execution: 'unknown'};
		}

		case OutcomeState.EXPIRED: {
			return {state: 'expired', execution: 'unknown'};
		}

		case OutcomeState.ABSENT: {
			// If the key contains no time, its record may have existed and expired.
			return {state: 'absent', execution: readMintedAtMs(key) > 0 ? 'not-run' : 'unknown'};
		}

		default: {
			return {state: 'unknown', execution: 'unknown'};
		}
	}
}

function decodeKey(pathname: string): string | undefined {
	try {
		return decodeURIComponent(pathname.slice('/v1/outcomes/'.length));
	} catch {
		return undefined;
	}
}

function refuse({response, refusal}: {readonly response: ServerResponse; readonly refusal: Refusal}): void {
	sendRefusal({response, id: randomUUID(), refusal});
}
