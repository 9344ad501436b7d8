/** One connection to a backend server, lent to one call at a time. */
import type {Client} from 'undici';

/** A connection lent to one attempt. */
export interface Connection {
	readonly client: Client;
	/** Resets the connection, so that bytes on their way to the server are lost; it takes no more. Does nothing before it is made. */
	reset: () => void;
	/** Called once when the connection is found to be silent while it is lent. */
	onSilent: (() => void) | undefined;
	/** Monotonic time at which it was made, in milliseconds. */
	readonly createdAtMs: number;
	/** Monotonic time of the last byte received on it, or at which it was lent since, in milliseconds. */
	lastAnswerAtMs: number;
	/** Monotonic time at which it was lent last, in milliseconds. */
	lentAtMs: number;
	/** Set once the socket is connected, cleared when it closes. */
	isOpen: boolean;
	/** Whether the socket ended with an error, as by a reset. */
	wasReset: boolean;
	/** Set while an answer is received that has no length and ends with the connection. */
	isUnframed: boolean;
}
