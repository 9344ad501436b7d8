/** What an exchange with a backend server needs. */
import type {Readable} from 'node:stream';
import type {Either} from 'purify-ts';
import type {ConnectionLease} from '@pomelopick/calls.connections';
import type {ResponseHead} from './attempt-response.js';
import type {ResponseReservation} from './buffer-budget.js';
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
	/**
	 * Checks the state of the server on the connection, once this is open and before the request is written; undefined:
	 * there is nothing to check. Left: the request cannot be sent on this connection.
	 */
	readonly checkConnection?: (options: {readonly isNew: boolean}) => Promise<Either<Error, void>> | undefined;
	/** Whether the request may still be sent. Called when the request is written, which may be long after the exchange began: it waits for its connection. */
	readonly mayStart?: () => boolean;
	/** Returns alternating names and values. Called when the request is written, as they may state the time left. */
	readonly headers: () => HeaderList;
	readonly body: Uint8Array | Readable | undefined;
	/** Maximum bytes of a response body that are buffered; a larger response is forwarded while it arrives. */
	readonly maxBufferedBytes: number;
	/** Whether a response larger than that is buffered nevertheless, given its length in bytes as far as it is known; never if left out. */
	readonly mayBufferFurther?: (bytes: number) => boolean;
	/** Counts the bytes of the response that are held, and lets it be read ahead of its caller; undefined: it is not read ahead. */
	readonly reservation?: ResponseReservation | undefined;
	/** Called with the head of every final response on the connection, also when it belongs to another call. */
	readonly onHead?: (head: ResponseHead) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}
