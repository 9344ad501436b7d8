/** The open connections of callers and their unsent responses; decides after which response a connection closes. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallCounters} from '@pomelopick/core.telemetry';

/** One connection of a caller. */
interface CallerConnection {
	/** Responses of which not every byte was handed to the operating system yet, in the order of their requests. */
	readonly unsent: Set<ServerResponse>;
	/** Response to the newest request; undefined before the first request. */
	latest: ServerResponse | undefined;
	/** Whether no request behind the newest one is accepted. */
	isLast: boolean;
}

/** Options of {@link CallerConnections.accept}. */
export interface AcceptRequestOptions {
	readonly socket: Socket;
	readonly response: ServerResponse;
	/** Whether no request behind this one can be accepted, so that the connection closes after its response. */
	readonly isLast: boolean;
}

/** Keeps track of callers' connections, closes them after their last response, and counts responses that were never sent. */
export class CallerConnections {
	readonly #connections = new Map<Socket, CallerConnection>();
	#isClosing = false;
	readonly #counters: Pick<CallCounters, 'add'>;

	constructor({counters}: {readonly counters: Pick<CallCounters, 'add'>}) {
		this.#counters = counters;
	}

	/** Whether all responses on all connections were handed to the operating system. */
	get areAllSent(): boolean {
		return [...this.#connections.values()].every(({unsent}) => unsent.size === 0);
	}

	/** Adds a connection that was opened. */
	add(socket: Socket): void {
		const connection: CallerConnection = {unsent: new Set(), latest: undefined, isLast: false};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			if (connection.unsent.size > 0) {
				this.#counters.add(wasEndedByCaller(socket) ? 'callers.disconnected-unanswered' : 'callers.closed-unanswered', connection.unsent.size);
			}
		});
	}

	/**
	 * Accepts a request that arrived on a connection.
	 *
	 * @returns False if an earlier response closes the connection: this request must not be run, as it cannot be answered.
	 */
	accept({socket, response, isLast}: AcceptRequestOptions): boolean {
		const connection = this.#connections.get(socket);
		if (!connection) {
			// The connection ended before its last bytes were parsed.
			return false;
		}

		const {latest} = connection;
		if (connection.isLast || (latest?.headersSent === true && latest.getHeader('connection') === 'close')) {
			this.#counters.add('callers.request-behind-close');
			return false;
		}

		if (this.#isClosing) {
			moveClose({from: latest, to: response});
		} else if (isLast) {
			response.setHeader('connection', 'close');
		}

		connection.isLast = isLast;
		connection.latest = response;
		connection.unsent.add(response);
		response.once('finish', () => {
			connection.unsent.delete(response);
		});
		return true;
	}

	/** From now on, closes each connection after the response to its newest request, and lets that response say so. */
	closeAfterResponses(): void {
		this.#isClosing = true;
		for (const {latest} of this.#connections.values()) {
			if (latest?.headersSent === false) {
				latest.setHeader('connection', 'close');
			}
		}
	}

	/** Returns the response to the newest request of a connection; undefined before its first request. */
	latestResponse(socket: Socket): ServerResponse | undefined {
		return this.#connections.get(socket)?.latest;
	}
}

/** Lets the response to a newer request on a connection close it, in place of the one before. */
function moveClose({from, to}: {readonly from: ServerResponse | undefined; readonly to: ServerResponse}): void {
	if (from?.headersSent === false) {
		from.setHeader('connection', 'keep-alive');
	}

	to.setHeader('connection', 'close');
}

/** Whether the caller closed or reset a connection that has ended, rather than this instance. */
function wasEndedByCaller({readableEnded, errored}: Socket): boolean {
	return readableEnded || errored !== null;
}
