/** Tracks the objects that each backend server handled recently for this instance and may still have in memory. */
import type {BackendServerName} from '@pomelopick/core.types';

/** Number of objects that a backend server is assumed to keep in memory. */
const OBJECTS_PER_SERVER = 24;

/** Keeps the most recently used objects of each server. */
export class RecentObjects {
	readonly #objects = new Map<BackendServerName, Set<string>>();

	/** Whether the server handled the object recently. */
	has({server, object}: {readonly server: BackendServerName; readonly object: string}): boolean {
		return this.#objects.get(server)?.has(object) ?? false;
	}

	/** Records that the server handled the object. */
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

	/** Removes the objects of a server; it loses its memory when its process ends. */
	forget(server: BackendServerName): void {
		this.#objects.delete(server);
	}
}
