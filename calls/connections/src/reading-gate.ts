/** Flow control below the HTTP client: holds back what arrives on a connection while a caller is slow. */
import type {Socket} from 'node:net';
import process from 'node:process';

/**
 * Decides when the HTTP client may read from a socket.
 *
 * The client's own pause stops its parser, which must not meet the end or a reset of the connection while it is stopped.
 * Behind a closed gate the client finds nothing to read instead: the socket's buffer fills and the operating system
 * stops the sender. The end of the connection is told behind the last byte, as always.
 */
export class ReadingGate {
	readonly #socket: Socket;
	#isClosed = false;

	/** Puts a gate before a socket that the client does not use yet. */
	constructor(socket: Socket) {
		this.#socket = socket;
		const read: (size?: number) => unknown = socket.read.bind(socket);
		socket.read = size => this.#isClosed ? null : read(size);
	}

	/** Closes the gate. What the client has already taken from the socket is still parsed. */
	close(): void {
		this.#isClosed = true;
	}

	/** Opens the gate. The client reads later, never within the caller's callback, which may be that of another connection's parser. */
	open(): void {
		if (!this.#isClosed) {
			return;
		}

		this.#isClosed = false;
		process.nextTick(() => {
			if (!this.#isClosed && !this.#socket.destroyed) {
				this.#socket.emit('readable');
			}
		});
	}
}
