/**
 * Backend servers that said in an answer that they leave.
 *
 * An answer may tell of it before the store does, or while the store says otherwise. The word holds for one start of a
 * server: a later start under the same name has not said it, and neither has another server at the same address.
 */
import {ServerStartMap} from './server-start-map.js';
import type {ServerStart} from './server-start-map.js';

/** Starts that are remembered; the ones told of first are forgotten first. */
const MAX_STARTS = 8192;

/** The servers that this instance was told of. */
export class LeavingServers {
	readonly #starts = new ServerStartMap<true>({most: MAX_STARTS});

	/** Notes that a server leaves; answers whether that is new. */
	record(server: ServerStart): boolean {
		const isNew = !this.has(server);
		this.#starts.set(server, true);
		return isNew;
	}

	/** Whether this start of the server said that it leaves. */
	has(server: ServerStart): boolean {
		return this.#starts.get(server) ?? false;
	}
}
