/** This instance's view of the registered backend servers and of which ones are usable. */
import type {
	BackendServerName, FailureDomainName, RegisteredServer, ServiceName,
} from '@pomelopick/core.types';
import {EndedStarts} from './ended-starts.js';
import type {EntryEnd} from './ended-starts.js';
import type {ServerStart} from './server-start-map.js';

/**
 * Time for which a server is considered warming up after the end of the evacuation of its failure domain, in
 * milliseconds: the server's own report of its warm-up may be two heartbeats late.
 */
const WARMUP_AFTER_EVACUATION_MS = 2500;
/** Margin added to the warm-up time that a server reports, in milliseconds: its clock and this one are not aligned. */
const WARMUP_MARGIN_MS = 300;
/** Minimum difference of two statements about the end of a warm-up for them to contradict each other, in milliseconds. */
const MIN_WARMUP_CHANGE_MS = 500;

/** The entry of a server and the times that this instance derived from it. */
export interface KnownServer {
	readonly server: RegisteredServer;
	/** Monotonic time until which the server warms up, in milliseconds. */
	readonly coldUntilMs: number;
	/** Monotonic time at which an entry that is missing from the store is removed here too, in milliseconds; undefined while the store has it. */
	readonly expiresAtMs: number | undefined;
}

/** Options of {@link ServerTable.write}. */
export interface WriteServerOptions {
	readonly server: RegisteredServer;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ServerTable.recordWarmup}. */
export interface RecordWarmupOptions {
	/** The start that is known to whoever heard it; the server may have started anew since. */
	readonly server: ServerStart;
	/** Time for which the server still warms up, in milliseconds. */
	readonly warmupLeftMs: number;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ServerTable.remove}. */
export interface RemoveServerOptions {
	readonly name: BackendServerName;
	/**
	 * Monotonic time until which the entry is kept, in milliseconds, because it may have expired in a recent store outage
	 * and may be registered again; undefined: the entry was removed on purpose.
	 */
	readonly retainUntilMs: number | undefined;
}

/** Result of a write; `ended`: the entry is of a start that was removed or replaced, and was written late. */
export type WriteOutcome = 'added' | 'changed' | 'unchanged' | 'outdated' | 'ended';

/** Keeps the entries of servers by name; ignores entries of an earlier start or heartbeat. */
export class ServerTable {
	readonly #servers = new Map<BackendServerName, KnownServer>();
	readonly #endedStarts = new EndedStarts();
	readonly #evacuated = new Set<FailureDomainName>();
	#usable: Map<ServiceName, readonly KnownServer[]> | undefined;
	#generation = 0;

	/** Counter that grows whenever the set of usable servers may have changed. */
	get generation(): number {
		return this.#generation;
	}

	/** Names of all entries, including those that are missing from the store and not yet removed here. */
	get names(): ReadonlySet<BackendServerName> {
		return new Set(this.#servers.keys());
	}

	/** Failure domains whose servers get no requests. */
	get evacuated(): ReadonlySet<FailureDomainName> {
		return this.#evacuated;
	}

	/** Applies an entry that was written to the store. */
	write({server, nowMs}: WriteServerOptions): WriteOutcome {
		const known = this.#servers.get(server.name);
		if (known && isOutdated({server, known: known.server})) {
			return 'outdated';
		}

		if (this.#endedStarts.includes(server)) {
			return 'ended';
		}

		const isSameStart = known?.server.startedAtMs === server.startedAtMs;
		if (known && !isSameStart) {
			this.#endedStarts.record({server: known.server, end: 'replaced'});
		}

		const coldUntilMs = server.warmupLeftMs > 0 ? nowMs + server.warmupLeftMs + WARMUP_MARGIN_MS : (isSameStart ? known?.coldUntilMs ?? nowMs : nowMs);
		this.#servers.set(server.name, {server, coldUntilMs, expiresAtMs: undefined});
		if (known && known.expiresAtMs === undefined && isEquivalent({server, known: known.server})) {
			// The cached lists refer to the old entry and are built again; the generation stays, as the same servers are usable.
			this.#usable = undefined;
			return 'unchanged';
		}

		this.#invalidate();
		return known ? 'changed' : 'added';
	}

	/**
	 * Records that a server said, other than in its entry, for how long it still warms up; returns whether that is longer than
	 * was known. Does nothing if a later start of the server is known.
	 */
	recordWarmup({server: {name, startedAtMs}, warmupLeftMs, nowMs}: RecordWarmupOptions): boolean {
		const known = this.#servers.get(name);
		if (!known || warmupLeftMs <= 0 || (known.server.startedAtMs ?? 0) > (startedAtMs ?? 0)) {
			return false;
		}

		const coldUntilMs = nowMs + warmupLeftMs + WARMUP_MARGIN_MS;
		this.#servers.set(name, {...known, coldUntilMs: Math.max(known.coldUntilMs, coldUntilMs)});
		this.#usable = undefined;
		return coldUntilMs - Math.max(known.coldUntilMs, nowMs) >= MIN_WARMUP_CHANGE_MS;
	}

	/** Removes an entry that is missing from the store, at once or after the time for which it is kept. */
	remove({name, retainUntilMs}: RemoveServerOptions): void {
		const known = this.#servers.get(name);
		if (known && retainUntilMs !== undefined && known.server.state === 'ready') {
			this.#servers.set(name, {...known, expiresAtMs: known.expiresAtMs ?? retainUntilMs});
			this.#usable = undefined;
		} else if (known) {
			this.#delete({server: known.server, end: 'removed'});
		}
	}

	/** Removes the entries that were not registered again in time; returns them. */
	expire(nowMs: number): readonly RegisteredServer[] {
		const expired = [...this.#servers.values()].filter(({expiresAtMs}) => expiresAtMs !== undefined && nowMs >= expiresAtMs).map(({server}) => server);
		for (const server of expired) {
			this.#delete({server, end: 'expired'});
		}

		return expired;
	}

	/** Makes the servers of a failure domain unusable. */
	evacuate(failureDomain: FailureDomainName): void {
		this.#evacuated.add(failureDomain);
		this.#invalidate();
	}

	/** Makes the servers of a failure domain usable again; they are considered warming up at first. */
	endEvacuation({failureDomain, nowMs}: {readonly failureDomain: FailureDomainName; readonly nowMs: number}): void {
		if (!this.#evacuated.delete(failureDomain)) {
			return;
		}

		for (const [name, known] of this.#servers) {
			if (known.server.failureDomain === failureDomain) {
				this.#servers.set(name, {...known, coldUntilMs: Math.max(known.coldUntilMs, nowMs + WARMUP_AFTER_EVACUATION_MS)});
			}
		}

		this.#invalidate();
	}

	/** Servers of a service that may get requests, including those that are warming up. */
	listUsable(service: ServiceName): readonly KnownServer[] {
		this.#usable ??= this.#groupUsable();
		return this.#usable.get(service) ?? [];
	}

	/** The entry of a server, usable or not; undefined when there is none. */
	findEntry(name: BackendServerName): KnownServer | undefined {
		return this.#servers.get(name);
	}

	/** All entries, usable or not. */
	listEntries(): readonly KnownServer[] {
		return [...this.#servers.values()];
	}

	/** Servers that are registered at an address. */
	listAt({address, port}: Pick<RegisteredServer, 'address' | 'port'>): readonly RegisteredServer[] {
		return [...this.#servers.values()].map(({server}) => server).filter(server => server.address === address && server.port === port);
	}

	/** The entry of a usable server; undefined when there is none. */
	findUsable(name: BackendServerName): KnownServer | undefined {
		const known = this.#servers.get(name);
		return known && this.#isUsable(known) ? known : undefined;
	}

	#delete({server, end}: {readonly server: RegisteredServer; readonly end: EntryEnd}): void {
		this.#servers.delete(server.name);
		this.#endedStarts.record({server, end});
		this.#invalidate();
	}

	#isUsable({server}: KnownServer): boolean {
		return server.state === 'ready' && !this.#evacuated.has(server.failureDomain);
	}

	#groupUsable(): Map<ServiceName, readonly KnownServer[]> {
		const groups = new Map<ServiceName, KnownServer[]>();
		for (const known of this.#servers.values()) {
			if (this.#isUsable(known)) {
				const group = groups.get(known.server.service);
				if (group) {
					group.push(known);
				} else {
					groups.set(known.server.service, [known]);
				}
			}
		}

		return groups;
	}

	#invalidate(): void {
		this.#usable = undefined;
		this.#generation += 1;
	}
}

/** Whether an entry is older than the known one: from an earlier start, or from an earlier heartbeat of the same start. */
function isOutdated({server, known}: {readonly server: RegisteredServer; readonly known: RegisteredServer}): boolean {
	const startedAtMs = server.startedAtMs ?? known.startedAtMs;
	if (startedAtMs !== known.startedAtMs) {
		return (startedAtMs ?? 0) < (known.startedAtMs ?? 0);
	}

	return server.startedAtMs !== undefined && server.heartbeat < known.heartbeat;
}

/** Whether two entries differ in nothing but the warm-up time and the heartbeat. */
function isEquivalent({server, known}: {readonly server: RegisteredServer; readonly known: RegisteredServer}): boolean {
	return server.state === known.state && server.service === known.service && server.address === known.address && server.port === known.port
		&& server.failureDomain === known.failureDomain && server.slots === known.slots && server.startedAtMs === known.startedAtMs;
}
