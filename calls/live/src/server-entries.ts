/** Applies the entries of backend servers in the store to the table of servers, and reports what changes. */
import type {StoredValue} from '@pomelopick/platform.store';
import type {BackendServerName, RegisteredServer} from '@pomelopick/core.types';
import type {ServerTable} from '@pomelopick/steering.servers';
import type {PlatformFormat} from './platform-format.js';
import type {ViewChange} from './view-change.js';

/** A start of a server that has ended or is no longer registered. */
export interface LostServer {
	/** Its last entry. */
	readonly server: RegisteredServer;
	/** Wall-clock time of its next start, in milliseconds; undefined: it is no longer registered, or does not say when it started. */
	readonly restartedAtMs: number | undefined;
}

/** Options of {@link ServerEntries}. */
export interface ServerEntriesOptions extends Pick<PlatformFormat, 'decodeServer'> {
	readonly servers: ServerTable;
	readonly onChange: (change: ViewChange) => void;
	/** Called when a server restarted or was removed. */
	readonly onServerLost: (lost: LostServer) => void;
}

/** Effect of a write on the view: `none` for an outdated entry, and for a heartbeat that changes nothing else about its server. */
export type WriteEffect = 'changed' | 'none';

/** Options of {@link ServerEntries.write}. */
export interface WriteServerEntryOptions {
	readonly name: BackendServerName;
	readonly value: StoredValue;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ServerEntries.remove}. */
export interface RemoveServerEntryOptions {
	readonly key: string;
	readonly name: BackendServerName;
	readonly storeIndex: number;
	/** Monotonic time until which the entry may be written again, in milliseconds; undefined: it was removed on purpose. */
	readonly retainedUntilMs: number | undefined;
}

/** The entries of servers in the store. */
export class ServerEntries {
	readonly #options: ServerEntriesOptions;
	readonly #keys = new Set<string>();

	constructor(options: ServerEntriesOptions) {
		this.#options = options;
	}

	/** Lists the keys of the entries. */
	listKeys(): readonly string[] {
		return [...this.#keys];
	}

	/** Applies a write. */
	write({name, value, nowMs}: WriteServerEntryOptions): WriteEffect {
		const {servers, decodeServer, onChange} = this.#options;
		return decodeServer({name, bytes: value.value}).caseOf<WriteEffect>({
			Left({code, message}) {
				onChange({
					event: 'server-refused', subject: name, detail: message, reason: code, storeIndex: value.modifyIndex,
				});
				servers.remove({name, retainUntilMs: undefined});
				return 'changed';
			},
			Right: server => this.#apply({server, value, nowMs}),
		});
	}

	/** Applies a removal. */
	remove({key, name, storeIndex, retainedUntilMs}: RemoveServerEntryOptions): void {
		const {servers, onChange, onServerLost} = this.#options;
		this.#keys.delete(key);
		const known = servers.findEntry(name);
		if (!known) {
			return;
		}

		servers.remove({name, retainUntilMs: retainedUntilMs});
		const isRetained = servers.findEntry(name) !== undefined;
		onChange({
			event: isRetained ? 'server-held' : 'server-gone',
			subject: name,
			detail: isRetained ? 'its entry disappeared while the store was unavailable; it is retained for now' : 'its entry was removed',
			storeIndex,
		});
		if (!isRetained) {
			onServerLost({server: known.server, restartedAtMs: undefined});
		}
	}

	/** Removes retained servers whose entries were not written again in time. */
	expire(nowMs: number): void {
		const {servers, onChange, onServerLost} = this.#options;
		for (const server of servers.expire(nowMs)) {
			onChange({
				event: 'server-gone', subject: server.name, detail: 'its entry expired while the store was unavailable and was not written again in time', storeIndex: 0,
			});
			onServerLost({server, restartedAtMs: undefined});
		}
	}

	#apply({server, value: {key, modifyIndex}, nowMs}: Omit<WriteServerEntryOptions, 'name'> & {readonly server: RegisteredServer}): WriteEffect {
		const {servers, onChange, onServerLost} = this.#options;
		const {name} = server;
		const before = servers.findEntry(name);
		const outcome = servers.write({server, nowMs});
		if (outcome === 'outdated') {
			return 'none';
		}

		if (outcome === 'ended') {
			onChange({
				event: 'server-refused', subject: name, detail: 'the entry was removed or replaced before this heartbeat was written', reason: 'ended-start', storeIndex: modifyIndex,
			});
			return 'none';
		}

		this.#keys.add(key);
		if (before && before.server.startedAtMs !== server.startedAtMs) {
			onServerLost({server: before.server, restartedAtMs: server.startedAtMs});
		}

		if (outcome === 'unchanged') {
			// Each heartbeat of a server that is warming up changes the remaining warm-up time.
			return server.warmupLeftMs > 0 ? 'changed' : 'none';
		}

		onChange({
			event: 'server-changed',
			subject: name,
			detail: `${outcome}: ${server.state} at ${server.address}:${server.port}, ${server.slots} slots of ${server.service}, warm-up ${server.warmupLeftMs} ms`,
			storeIndex: modifyIndex,
		});
		return 'changed';
	}
}
