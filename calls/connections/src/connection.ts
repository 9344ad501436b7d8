/** One connection to a backend server, lent to one call at a time. */
import type {Client} from 'undici';

/** A connection lent to one attempt. */
export interface Connection {
	readonly client: Client;
	/** Resets the connection, which discards bytes that have not reached the server; nothing more can be sent. Does nothing before the socket is connected. */
	reset: () => void;
	/** Stops reading from the server; the end of the connection is noticed only behind everything that was received before. Does nothing before the socket is connected. */
	holdReading: () => void;
	/** Goes on reading. */
	releaseReading: () => void;
	/** Called once when the connection is found to be silent while it is lent. */
	onSilent: (() => void) | undefined;
	/** Monotonic time at which it was created, in milliseconds. */
	readonly createdAtMs: number;
	/** Monotonic time at which a byte was last received on it or it was last lent, whichever is later, in milliseconds. */
	lastReceivedAtMs: number;
	/** Monotonic time at which it was last lent, in milliseconds. */
	lentAtMs: number;
	/** Set once the socket is connected, cleared when it closes. */
	isOpen: boolean;
	/** Whether the socket has carried a request before the current one, so that a further response to that may still arrive. */
	wasUsed: boolean;
	/** Whether the connection was reset. */
	wasReset: boolean;
	/** Set while a response is received that has neither a content length nor chunks and ends when the connection closes. */
	isUnframed: boolean;
}
