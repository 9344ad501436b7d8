/** Reads from the head of a response which call it belongs to, and where its body ends. */
import type {IncomingHttpHeaders} from 'node:http';
import {CALL_ID_HEADER} from './call-headers.js';

/** Options of {@link findMismatch}. */
export interface FindMismatchOptions {
	readonly headers: IncomingHttpHeaders;
	readonly callId: string;
	/** Header in which the backend server returns the call's identifier. */
	readonly idHeader?: string;
	/** Whether backend servers return the identifier in every response. */
	readonly requiresId?: boolean;
	/** Whether the connection carried a request before this one. */
	readonly wasUsed: boolean;
}

/** Why a response may belong to another call; undefined if it belongs to this one. */
export function findMismatch({headers, callId, idHeader = CALL_ID_HEADER, requiresId = false, wasUsed}: FindMismatchOptions): string | undefined {
	const returnedCallId = headers[idHeader];
	if (returnedCallId === undefined) {
		return requiresId && wasUsed ? `found a response without ${idHeader} on a connection that was used before` : undefined;
	}

	return returnedCallId === callId ? undefined : `found the response to another call: ${JSON.stringify(returnedCallId)}`;
}

/** Options of {@link readFraming}. */
export interface ReadFramingOptions {
	/** Method of the request. */
	readonly method: string;
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
}

/** Where the body of a response ends. */
export interface ResponseFraming {
	readonly hasBody: boolean;
	/** Whether the body ends with its connection. */
	readonly isUnframed: boolean;
}

/** Reads where the body of a response ends. With a transfer coding other than chunks it ends when its connection closes (RFC 9112, section 6.3). */
export function readFraming({method, status, headers}: ReadFramingOptions): ResponseFraming {
	const coding = headers['transfer-encoding'];
	const isFramed = coding === undefined ? headers['content-length'] !== undefined : CHUNKED_PATTERN.test(String(coding));
	const hasBody = method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
	return {hasBody, isUnframed: hasBody && !isFramed};
}

const CHUNKED_PATTERN = /(?:^|,)\s*chunked\s*$/iu;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
