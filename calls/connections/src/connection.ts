/** One connection to a backend server, lent to one call at a time. */
import type {Either} from 'purify-ts';
import type {Client} from 'undici';

/** A connection lent to one attempt. */
export interface Connection {
	readonly client: Client;
	/**
	 * Connects the socket unless it is connected. Without a connected socket, the library would hold a request whose headers
	 * become out of date until it has connected. Left: why it cannot be connected.
	 */
	readonly open: () => Promise<Either<Error, void>>;
	/** Resets the connection, which discards bytes that have not reached the server; nothing more can be sent. */
	readonly reset: () => void;
	/** Stops reading from the server; the end of the connection is noticed only behind everything that was received before. Does nothing before the socket is connected. */
	readonly holdReading: () => void;
	/** Goes on reading. */
	readonly releaseReading: () => void;
	/** Called once when the connection is found to be silent while it is lent. */
	onSilent: (() => void) | undefined;
	/** Monotonic time at which it was created, in milliseconds. */
	readonly createdAtMs: number;
	/** Monotonic time at which the library took its current socket, in milliseconds; infinite before that. */
	openedAtMs: number;
	/** Monotonic time at which a byte was last received on it or it was last lent, whichever is later, in milliseconds. */
	lastReceivedAtMs: number;
	/** Monotonic time at which it was last lent, in milliseconds. */
	lentAtMs: number;
	/** Whether the socket is connected. */
	readonly isOpen: boolean;
	/** Whether the socket has carried a request before the current one, so that a further response to that may still arrive. */
	wasUsed: boolean;
	/** Whether the server has answered a health check on the current socket, so that the state of the process at its other end is known. */
	isChecked: boolean;
	/**
	 * Whether the library may connect the socket when a request finds it closed, as for a probe. Otherwise it fails the request,
	 * of which nothing has been sent, because its headers were made before it waited for the connection.
	 */
	connectsByItself: boolean;
	/** Whether the connection was reset. */
	wasReset: boolean;
}
