/** The open connections of callers and the responses that each of them still owes. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallCounters} from '@pomelopick/core.telemetry';

/** One connection of a caller. */
interface CallerConnection {
	/** Responses of which not every byte was handed to the operating system yet, in the order of their requests. */
	readonly unsent: Set<ServerResponse>;
	/** Response to the newest request; undefined before the first request. */
	latest: ServerResponse | undefined;
}

/** Keeps track of callers' connections and counts those that end before all of their responses were sent. */
export class CallerConnections {
	readonly #connections = new Map<Socket, CallerConnection>();
	readonly #counters: Pick<CallCounters, 'add'>;

	constructor({counters}: {readonly counters: Pick<CallCounters, 'add'>}) {
		this.#counters = counters;
	}

	/** Adds a connection that was opened. */
	add(socket: Socket): void {
		const connection: CallerConnection = {unsent: new Set(), latest: undefined};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			if (connection.unsent.size > 0) {
				this.#counters.add(wasEndedByCaller(socket) ? 'callers.disconnected-unanswered' : 'callers.closed-unanswered', connection.unsent.size);
			}
		});
	}

	/** Records a request that arrived on a connection. */
	recordRequest({socket, response}: {readonly socket: Socket; readonly response: ServerResponse}): void {
		const connection = this.#connections.get(socket);
		if (!connection) {
			// The connection was closed before its last bytes were parsed.
			return;
		}

		connection.latest = response;
		connection.unsent.add(response);
		response.once('finish', () => {
			connection.unsent.delete(response);
		});
	}

	/** Returns the response to the newest request of a connection; undefined before its first request. */
	latestResponse(socket: Socket): ServerResponse | undefined {
		return this.#connections.get(socket)?.latest;
	}
}

/** Whether the caller closed or reset a connection that has ended, rather than this instance. */
function wasEndedByCaller({readableEnded, errored}: Socket): boolean {
	return readableEnded || errored !== null;
}
