/** Sends refusals to callers as problem documents (RFC 9457). */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {PROBLEM_MEDIA_TYPE, toProblemDocument} from '@pomelopick/core.types';
import type {Refusal, RefusalReason} from '@pomelopick/core.types';
import {CALL_ID_HEADER} from './call-headers.js';
import {endAfterInput} from './end-after-input.js';
import {isUnanswered} from './is-unanswered.js';
import {resetCallerConnection} from './response-forwarder.js';

const MILLISECONDS_PER_SECOND = 1000;
const UNAUTHORISED = 401;

/** Format of a refusal. */
export interface RefusalFormat {
	/** Header that contains the call's identifier. */
	readonly idHeader: string;
	/** Encodes the time after which the caller may retry as the value of the `retry-after` header. */
	readonly encodeRetryAfter: (milliseconds: number) => string;
	/** Status codes that replace the default ones. */
	readonly statuses?: Readonly<Partial<Record<RefusalReason, number>>>;
	/** Value of the `www-authenticate` header with status 401: the scheme of the credentials that are expected (RFC 9110, section 11.6.1). */
	readonly challenge?: string;
}

const defaultFormat: RefusalFormat = {
	idHeader: CALL_ID_HEADER,
	encodeRetryAfter: milliseconds => String(Math.ceil(milliseconds / MILLISECONDS_PER_SECOND)),
};

/** Options of {@link sendRefusal}. */
export interface SendRefusalOptions {
	readonly response: ServerResponse;
	readonly id: string;
	readonly refusal: Refusal;
	readonly format?: RefusalFormat;
}

/** Sends a refusal as a problem document; resets the connection when another response was started already. */
export function sendRefusal({response, id, refusal, format = defaultFormat}: SendRefusalOptions): void {
	if (!isUnanswered(response)) {
		resetCallerConnection(response);
		return;
	}

	const defaults = toProblemDocument({refusal, callId: id});
	const document = {...defaults, status: format.statuses?.[refusal.reason] ?? defaults.status};
	const body = JSON.stringify(document);
	if (!response.req.complete) {
		// The rest of the request body is not read, so the connection cannot be reused after this response. The header is set
		// where the listener finds it again when a further request arrives on the connection.
		response.setHeader('connection', 'close');
	}

	response.writeHead(document.status, {
		'content-type': PROBLEM_MEDIA_TYPE,
		'content-length': String(Buffer.byteLength(body)),
		[format.idHeader]: id,
		...(document.status === UNAUTHORISED && format.challenge !== undefined && {'www-authenticate': format.challenge}),
		...(refusal.retryAfterMs !== undefined && {'retry-after': format.encodeRetryAfter(refusal.retryAfterMs)}),
	});
	if (response.req.complete) {
		response.end(body);
	} else {
		endAfterInput({response, body});
	}
}
