/** Notifies requests when their caller disconnects, including pipelined requests that wait for an earlier one on the same connection. */
import type {Socket} from 'node:net';

/** Registers one `close` listener for each connection, shared by its requests. */
export class CallerDisconnects {
	readonly #listeners = new WeakMap<Socket, Set<() => void>>();

	/** Calls `onGone` when the connection closes, or at once if it is already closed. Returns a function that cancels this. */
	watch({socket, onGone}: {readonly socket: Socket; readonly onGone: () => void}): () => void {
		if (socket.destroyed) {
			onGone();
			return doNothing;
		}

		const listeners = this.#listenersOf(socket);
		listeners.add(onGone);
		return () => {
			listeners.delete(onGone);
		};
	}

	#listenersOf(socket: Socket): Set<() => void> {
		const known = this.#listeners.get(socket);
		if (known) {
			return known;
		}

		const listeners = new Set<() => void>();
		this.#listeners.set(socket, listeners);
		socket.once('close', () => {
			for (const onGone of listeners) {
				onGone();
			}
		});
		return listeners;
	}
}

function doNothing(): void {
	// `onGone` was called at once, so there is nothing to cancel.
}
