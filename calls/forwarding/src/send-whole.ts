/** Sends a complete, buffered response. */
import type {ServerResponse} from 'node:http';
import type {CallId} from '@pomelopick/core.types';
import {CALL_ID_HEADER, listHeaders} from './call-headers.js';
import {isUnanswered} from './is-unanswered.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Options of {@link sendCompleteResponse}. */
export interface SendCompleteResponseOptions {
	readonly response: ServerResponse;
	/** Call identifier to add as a header; undefined: the headers contain it already. */
	readonly id: CallId | undefined;
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
}

/** Sends a response with its content length. Does nothing when the caller was refused before or its connection is closed. */
export function sendCompleteResponse({response, id, status, headers, body}: SendCompleteResponseOptions): void {
	if (!isUnanswered(response)) {
		return;
	}

	const mayHaveBody = response.req.method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
	const added = id === undefined ? [] : [CALL_ID_HEADER, id];
	if (mayHaveBody && headers['content-length'] === undefined) {
		added.push('content-length', String(body.length));
	}

	response.writeHead(status, listHeaders({headers, added}));
	response.end(body);
}
