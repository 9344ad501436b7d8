/** A map with a bounded number of entries whose keys are starts of backend servers. */
import type {BackendServerName} from '@pomelopick/core.types';

/** One start of a server. */
export interface ServerStart {
	readonly name: BackendServerName;
	/** Wall-clock time of the start as the server reports it, in milliseconds; undefined when it does not. */
	readonly startedAtMs: number | undefined;
}

/** Options of {@link ServerStartMap}. */
export interface ServerStartMapOptions {
	/** Maximum number of starts that are kept; the ones that were set first are removed first. */
	readonly maxStarts: number;
}

/** Maps starts of servers to values. */
export class ServerStartMap<Value> {
	readonly #maxStarts: number;
	readonly #entries = new Map<string, Value>();

	constructor({maxStarts}: ServerStartMapOptions) {
		this.#maxStarts = maxStarts;
	}

	/** The value of a start; undefined when there is none. */
	get(server: ServerStart): Value | undefined {
		return this.#entries.size === 0 ? undefined : this.#entries.get(keyOf(server));
	}

	/** Sets the value of a start and makes it the newest entry. */
	set(server: ServerStart, value: Value): void {
		const key = keyOf(server);
		this.#entries.delete(key);
		this.#entries.set(key, value);
		if (this.#entries.size > this.#maxStarts) {
			const [oldest] = this.#entries.keys();
			this.#entries.delete(oldest!);
		}
	}
}

function keyOf({name, startedAtMs}: ServerStart): string {
	return `${name}\0${startedAtMs ?? ''}`;
}
