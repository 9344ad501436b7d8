/** State of the key-value stand-in: keys with indexes, sessions, watches. */
import {randomUUID} from 'node:crypto';

/** Largest value, in bytes. */
export const MOST_VALUE_BYTES = 1_048_576;

/** A stored key. */
export interface StoredEntry {
	readonly key: string;
	readonly value: Uint8Array;
	readonly createIndex: number;
	readonly modifyIndex: number;
	readonly session: string | undefined;
}

interface Session {
	readonly id: string;
	readonly timeToLiveMs: number;
	expiresAtMs: number;
}

interface Watch {
	readonly prefix: string;
	readonly wake: () => void;
}

/** Options of {@link KeyValues.put}. */
export interface PutOptions {
	readonly key: string;
	readonly value: Uint8Array;
	/** Absent: unconditional. */
	readonly expectedIndex?: number;
	readonly session?: string;
}

/** Keys, sessions and watches. */
export class KeyValues {
	readonly #entries = new Map<string, StoredEntry>();
	readonly #sessions = new Map<string, Session>();
	readonly #watches = new Set<Watch>();
	readonly #deletions = new Map<string, number>();
	readonly #now: () => number;
	#index = 1;

	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** Index of the last write of all. */
	get index(): number {
		return this.#index;
	}

	/** The entries of one key or of all keys below a prefix, sorted by key. */
	read({key, recurse}: {readonly key: string; readonly recurse: boolean}): readonly StoredEntry[] {
		this.#expireSessions();
		if (!recurse) {
			const entry = this.#entries.get(key);
			return entry ? [entry] : [];
		}

		return [...this.#entries.values()].filter(entry => entry.key.startsWith(key)).sort((left, right) => left.key.localeCompare(right.key));
	}

	/** Highest index below a prefix, so that a watch wakes only for its own keys. */
	indexBelow(prefix: string): number {
		return Math.max(1, this.#lastDeletion(prefix), ...this.read({key: prefix, recurse: true}).map(entry => entry.modifyIndex));
	}

	/** Writes; answers whether the condition held. */
	put({key, value, expectedIndex, session}: PutOptions): boolean {
		this.#expireSessions();
		const existing = this.#entries.get(key);
		if (expectedIndex !== undefined && (existing?.modifyIndex ?? 0) !== expectedIndex) {
			return false;
		}

		if (session !== undefined && (!this.#sessions.has(session) || (existing?.session !== undefined && existing.session !== session))) {
			return false;
		}

		this.#index += 1;
		this.#entries.set(key, {
			key, value, createIndex: existing?.createIndex ?? this.#index, modifyIndex: this.#index, session: session ?? existing?.session,
		});
		this.#wake(key);
		return true;
	}

	/** Deletes; answers whether the condition held. */
	delete({key, expectedIndex}: {readonly key: string; readonly expectedIndex?: number}): boolean {
		const existing = this.#entries.get(key);
		if (expectedIndex !== undefined && (existing?.modifyIndex ?? 0) !== expectedIndex) {
			return false;
		}

		if (existing) {
			this.#index += 1;
			this.#entries.delete(key);
			this.#deletions.set(key, this.#index);
			this.#wake(key);
		}

		return true;
	}

	/** Creates a session. */
	createSession({timeToLiveMs}: {readonly timeToLiveMs: number}): string {
		const id = randomUUID();
		this.#sessions.set(id, {id, timeToLiveMs, expiresAtMs: this.#now() + timeToLiveMs});
		return id;
	}

	/** Renews a session; false when it has ended. */
	renewSession(id: string): boolean {
		this.#expireSessions();
		const session = this.#sessions.get(id);
		if (session) {
			session.expiresAtMs = this.#now() + session.timeToLiveMs;
		}

		return session !== undefined;
	}

	/** Ends a session and deletes the keys it holds. */
	destroySession(id: string): void {
		this.#sessions.delete(id);
		for (const entry of this.#entries.values()) {
			if (entry.session === id) {
				this.delete({key: entry.key});
			}
		}
	}

	/** Resolves when something below the prefix changes, at the latest after `waitMs`. */
	async waitForChange({prefix, waitMs, signal}: {readonly prefix: string; readonly waitMs: number; readonly signal: AbortSignal}): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				this.#watches.delete(watch);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			const watch: Watch = {prefix, wake: finish};
			signal.addEventListener('abort', finish);
			this.#watches.add(watch);
		});
	}

	/** Waiting watches. */
	get watchCount(): number {
		return this.#watches.size;
	}

	#lastDeletion(prefix: string): number {
		return Math.max(0, ...[...this.#deletions].filter(([key]) => key.startsWith(prefix)).map(([, index]) => index));
	}

	#expireSessions(): void {
		for (const session of this.#sessions.values()) {
			if (session.expiresAtMs <= this.#now()) {
				this.destroySession(session.id);
			}
		}
	}

	#wake(key: string): void {
		for (const watch of this.#watches) {
			if (key.startsWith(watch.prefix)) {
				watch.wake();
			}
		}
	}
}
