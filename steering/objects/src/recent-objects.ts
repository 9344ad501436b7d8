/** Objects that this instance lately sent to a backend server, which the server may still have in its memory. */
import type {BackendServerName} from '@pomelopick/core.types';

/** Objects that a backend server is taken to remember. */
const OBJECTS_PER_SERVER = 24;

/** Least recently used objects go first. */
export class RecentObjects {
	readonly #objects = new Map<BackendServerName, Set<string>>();

	/** Whether the server had the object of late. */
	has({server, object}: {readonly server: BackendServerName; readonly object: string}): boolean {
		return this.#objects.get(server)?.has(object) ?? false;
	}

	/** Notes that the server handled the object. */
	record({server, object}: {readonly server: BackendServerName; readonly object: string}): void {
		let objects = this.#objects.get(server);
		if (!objects) {
			objects = new Set();
			this.#objects.set(server, objects);
		}

		objects.delete(object);
		objects.add(object);
		if (objects.size > OBJECTS_PER_SERVER) {
			const [oldest] = objects;
			objects.delete(oldest!);
		}
	}

	/** Forgets a server, whose memory is lost with its process. */
	forget(server: BackendServerName): void {
		this.#objects.delete(server);
	}
}
