/**
 * Tracks the backend servers that reported in a response that they are leaving.
 *
 * A response may report this before the store does, or while the store still lists the server as ready. The report is
 * valid for one start of a server only: not for a later start under the same name, nor for another server at the same
 * address.
 */
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Maximum number of starts that are kept; the ones recorded first are removed first. */
const MAX_STARTS = 8192;

/** The starts of servers that reported to this instance that they are leaving. */
export class LeavingServers {
	readonly #starts = new ServerStartMap<true>({maxStarts: MAX_STARTS});

	/** Records that a server is leaving; returns whether this was not yet recorded. */
	record(server: ServerStart): boolean {
		const isNew = !this.has(server);
		this.#starts.set(server, true);
		return isNew;
	}

	/** Whether this start of the server reported that it is leaving. */
	has(server: ServerStart): boolean {
		return this.#starts.get(server) ?? false;
	}
}
