/** Tells requests that their caller has left, also those that wait behind another on the same connection. */
import type {Socket} from 'node:net';

/** Keeps one listener for each connection. */
export class CallerDisconnects {
	readonly #waiting = new WeakMap<Socket, Set<() => void>>();

	/** Calls back when the connection closes; returns a function that takes the request out. */
	watch({socket, onGone}: {readonly socket: Socket; readonly onGone: () => void}): () => void {
		if (socket.destroyed) {
			onGone();
			return ignore;
		}

		const waiting = this.#waitingOn(socket);
		waiting.add(onGone);
		return () => {
			waiting.delete(onGone);
		};
	}

	#waitingOn(socket: Socket): Set<() => void> {
		const known = this.#waiting.get(socket);
		if (known) {
			return known;
		}

		const waiting = new Set<() => void>();
		this.#waiting.set(socket, waiting);
		socket.once('close', () => {
			for (const onGone of waiting) {
				onGone();
			}
		});
		return waiting;
	}
}

function ignore(): void {
	// The request was told at once.
}
