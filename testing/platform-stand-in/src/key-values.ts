/** In-memory key-value store: keys with modification indexes, sessions that expire, and watches. */

/** Maximum size of a value, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** A stored key with its value, its indexes and the session that it is bound to. */
export interface StoredEntry {
	readonly key: string;
	readonly value: Uint8Array;
	readonly createIndex: number;
	readonly modifyIndex: number;
	readonly session: number | undefined;
}

interface Session {
	readonly id: number;
	readonly timeToLiveMs: number;
	expiresAtMs: number;
}

interface Watch {
	readonly prefix: string;
	readonly notify: () => void;
}

/** A change of a key. `entry` is the entry as written, or undefined if the key was deleted. */
export interface KeyChange {
	readonly key: string;
	readonly modifyIndex: number;
	readonly entry: StoredEntry | undefined;
}

/** A copy of the store. */
export interface StoreCopy {
	readonly entries: readonly StoredEntry[];
	readonly index: number;
}

/** Prefix of the keys that the system writes; all others are written by operators and servers. */
const SYSTEM_PREFIX = 'pomelopick/';
/** Maximum number of changes kept for watches. */
const MAX_HISTORY_LENGTH = 10_000;
const EXPIRY_INTERVAL_MS = 50;

/** Options of {@link KeyValues.put}. */
export interface PutOptions {
	readonly key: string;
	readonly value: Uint8Array;
	/** Modification index that the key must have, 0 if it must not exist. If absent, the write is unconditional. */
	readonly expectedIndex?: number;
	readonly session?: number;
}

/** Key-value store with conditional writes, sessions and watches. */
export class KeyValues {
	readonly #entries = new Map<string, StoredEntry>();
	readonly #sessions = new Map<number, Session>();
	readonly #watches = new Set<Watch>();
	#history: KeyChange[] = [];
	/** Index of the newest change that has been removed from the history. */
	#compactedIndex = 0;
	readonly #now: () => number;
	#index = 1;
	#era: number;
	#lastSession = 0;

	constructor({now, firstEra = 0}: {readonly now: () => number; readonly firstEra?: number}) {
		this.#now = now;
		this.#era = firstEra;
		// Expiring sessions without waiting for a call notifies the watches of the keys that are deleted with them.
		setInterval(() => {
			this.#expireSessions();
		}, EXPIRY_INTERVAL_MS).unref();
	}

	/** Index of the last write to any key. */
	get index(): number {
		return this.#index;
	}

	/** Rises by one each time the store returns from a copy. */
	get era(): number {
		return this.#era;
	}

	/** Copies the entries that are bound to no session. */
	copy(): StoreCopy {
		return {entries: [...this.#entries.values()].filter(({session}) => session === undefined), index: this.#index};
	}

	/** Returns to a copy: the system's later writes and all sessions are gone, while operators and servers write theirs again. */
	returnTo({entries, index}: StoreCopy): void {
		const others = [...this.#entries.values()].filter(({key}) => !key.startsWith(SYSTEM_PREFIX));
		this.#sessions.clear();
		this.#entries.clear();
		this.#era += 1;
		this.#index = index;
		this.compactHistory();
		for (const entry of entries.filter(({key}) => key.startsWith(SYSTEM_PREFIX))) {
			this.#entries.set(entry.key, entry);
		}

		for (const {key, value} of others) {
			this.put({key, value});
		}

		for (const {notify} of this.#watches) {
			notify();
		}
	}

	/** Returns the entry of one key or, with `recurse`, the entries of all keys with that prefix, sorted by key. */
	read({key, recurse}: {readonly key: string; readonly recurse: boolean}): readonly StoredEntry[] {
		this.#expireSessions();
		if (!recurse) {
			const entry = this.#entries.get(key);
			return entry ? [entry] : [];
		}

		return [...this.#entries.values()].filter(entry => entry.key.startsWith(key)).sort((left, right) => left.key < right.key ? -1 : 1);
	}

	/** Returns the changes of keys with a prefix after an index, in order, or undefined if some of them are no longer kept or the index was not given out yet. */
	changesAfter({prefix, index}: {readonly prefix: string; readonly index: number}): readonly KeyChange[] | undefined {
		this.#expireSessions();
		return index < this.#compactedIndex || index > this.#index ? undefined : this.#history.filter(({key, modifyIndex}) => modifyIndex > index && key.startsWith(prefix));
	}

	/** Removes all changes from the history, as a compaction does. */
	compactHistory(): void {
		this.#compactedIndex = this.#index;
		this.#history = [];
	}

	/** Writes a key. Returns false and writes nothing if the expected index differs or the session does not exist. */
	put({key, value, expectedIndex, session}: PutOptions): boolean {
		this.#expireSessions();
		const existing = this.#entries.get(key);
		if (expectedIndex !== undefined && (existing?.modifyIndex ?? 0) !== expectedIndex) {
			return false;
		}

		if (session !== undefined && !this.#sessions.has(session)) {
			return false;
		}

		this.#index += 1;
		const entry: StoredEntry = {
			key, value, createIndex: existing?.createIndex ?? this.#index, modifyIndex: this.#index, session,
		};
		this.#entries.set(key, entry);
		this.#recordChange({key, entry});
		return true;
	}

	/** Deletes a key. Returns false and deletes nothing if the expected index differs. */
	delete({key, expectedIndex}: {readonly key: string; readonly expectedIndex?: number}): boolean {
		const existing = this.#entries.get(key);
		if (expectedIndex !== undefined && (existing?.modifyIndex ?? 0) !== expectedIndex) {
			return false;
		}

		if (existing) {
			this.#index += 1;
			this.#entries.delete(key);
			this.#recordChange({key, entry: undefined});
		}

		return true;
	}

	/** Creates a session and returns its id. */
	createSession({timeToLiveMs}: {readonly timeToLiveMs: number}): number {
		this.#lastSession += 1;
		const id = this.#lastSession;
		this.#sessions.set(id, {id, timeToLiveMs, expiresAtMs: this.#now() + timeToLiveMs});
		return id;
	}

	/** Renews a session. Returns false if it has ended. */
	renewSession(id: number): boolean {
		this.#expireSessions();
		const session = this.#sessions.get(id);
		if (session) {
			session.expiresAtMs = this.#now() + session.timeToLiveMs;
		}

		return session !== undefined;
	}

	/** Returns whether a session exists and has not ended. */
	hasSession(id: number): boolean {
		this.#expireSessions();
		return this.#sessions.has(id);
	}

	/** Ends a session and deletes the keys that are bound to it. */
	destroySession(id: number): void {
		this.#sessions.delete(id);
		for (const entry of this.#entries.values()) {
			if (entry.session === id) {
				this.delete({key: entry.key});
			}
		}
	}

	/** Resolves when a key with the prefix changes, after `waitMs` milliseconds, or when the signal aborts. */
	async waitForChange({prefix, waitMs, signal}: {readonly prefix: string; readonly waitMs: number; readonly signal: AbortSignal}): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				this.#watches.delete(watch);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			const watch: Watch = {prefix, notify: finish};
			signal.addEventListener('abort', finish);
			this.#watches.add(watch);
		});
	}

	/** Number of watches that are waiting for a change. */
	get watchCount(): number {
		return this.#watches.size;
	}

	#expireSessions(): void {
		for (const session of this.#sessions.values()) {
			if (session.expiresAtMs <= this.#now()) {
				this.destroySession(session.id);
			}
		}
	}

	#recordChange({key, entry}: Omit<KeyChange, 'modifyIndex'>): void {
		this.#history.push({key, modifyIndex: this.#index, entry});
		if (this.#history.length > MAX_HISTORY_LENGTH) {
			this.#compactedIndex = this.#history.shift()!.modifyIndex;
		}

		this.#notifyWatches(key);
	}

	#notifyWatches(key: string): void {
		for (const watch of this.#watches) {
			if (key.startsWith(watch.prefix)) {
				watch.notify();
			}
		}
	}
}
