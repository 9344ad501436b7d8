/** What an exchange with a backend server needs. */
import type {Readable} from 'node:stream';
import type {ConnectionLease} from '@pomelopick/calls.connections';
import type {ResponseHead} from './attempt-response.js';
import type {HeaderList} from './call-headers.js';

/** Options of `Exchange`. */
export interface ExchangeOptions {
	readonly lease: ConnectionLease;
	readonly callId: string;
	/** Header in which the backend server returns the call's identifier. */
	readonly idHeader?: string;
	/**
	 * Whether backend servers return the identifier in every response. A response without it on a connection that was used
	 * before may then belong to an earlier call.
	 */
	readonly requiresId?: boolean;
	/**
	 * Whether to accept a response that has neither a content length nor chunked encoding and ends when its connection
	 * closes. Such a response counts as truncated when the connection is reset instead.
	 */
	readonly acceptsUnframed?: boolean;
	readonly method: string;
	readonly path: string;
	/** Returns alternating names and values. Called when the request is written, as they may state the time left. */
	readonly headers: () => HeaderList;
	readonly body: Uint8Array | Readable | undefined;
	/** Maximum bytes of a response body that are buffered; a larger response is forwarded while it arrives. */
	readonly maxBufferedBytes: number;
	/** Called with the head of every final response on the connection, also when it belongs to another call. */
	readonly onHead?: (head: ResponseHead) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}
