/** The registered backend servers as this instance believes them, and which of them may be used. */
import type {
	BackendServerName, FailureDomainName, RegisteredServer, ServiceName,
} from '@pomelopick/core.types';

/** Time for which a server is taken to be warming up after its failure domain was emptied, in milliseconds: its own word on it may be two heartbeats late. */
const WARMUP_AFTER_EVACUATION_MS = 2500;
/** Time added to what a server says of its warm-up, in milliseconds: its clock and this one do not start together. */
const WARMUP_MARGIN_MS = 300;

/** A server and what this instance made of its entry. */
export interface KnownServer {
	readonly server: RegisteredServer;
	/** Monotonic time until which the server warms up, in milliseconds. */
	readonly coldUntilMs: number;
	/** Monotonic time at which a lapsed entry is taken as gone, in milliseconds; undefined while the entry is there. */
	readonly expiresAtMs: number | undefined;
}

/** Options of {@link ServerTable.write}. */
export interface WriteServerOptions {
	readonly server: RegisteredServer;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Options of {@link ServerTable.remove}. */
export interface RemoveServerOptions {
	readonly name: BackendServerName;
	/**
	 * Monotonic time until which the entry may come back, because the store was away of late and entries lapsed
	 * meanwhile, in milliseconds; undefined: the server is gone.
	 */
	readonly heldUntilMs: number | undefined;
}

/** What became of a write. */
export type WriteOutcome = 'added' | 'changed' | 'unchanged' | 'outdated';

/** Keeps entries by name; entries of an earlier start, or of an earlier heartbeat, change nothing. */
export class ServerTable {
	readonly #servers = new Map<BackendServerName, KnownServer>();
	readonly #evacuated = new Set<FailureDomainName>();
	#usable: Map<ServiceName, readonly KnownServer[]> | undefined;
	#generation = 0;

	/** Grows whenever the set of usable servers may have changed. */
	get generation(): number {
		return this.#generation;
	}

	/** Names of all entries, lapsed ones included. */
	get names(): ReadonlySet<BackendServerName> {
		return new Set(this.#servers.keys());
	}

	/** Failure domains whose servers receive nothing. */
	get evacuated(): ReadonlySet<FailureDomainName> {
		return this.#evacuated;
	}

	/** Takes an entry. */
	write({server, nowMs}: WriteServerOptions): WriteOutcome {
		const known = this.#servers.get(server.name);
		if (known && isOutdated({server, known: known.server})) {
			return 'outdated';
		}

		const isSameStart = known?.server.startedAtMs === server.startedAtMs;
		const coldUntilMs = server.warmupLeftMs > 0 ? nowMs + server.warmupLeftMs + WARMUP_MARGIN_MS : (isSameStart ? known?.coldUntilMs ?? nowMs : nowMs);
		this.#servers.set(server.name, {server, coldUntilMs, expiresAtMs: undefined});
		if (known && known.expiresAtMs === undefined && isEquivalent({server, known: known.server})) {
			// What placement looks at through the cache is replaced in place.
			this.#usable = undefined;
			return 'unchanged';
		}

		this.#invalidate();
		return known ? 'changed' : 'added';
	}

	/** Takes note of an entry that is no longer there. */
	remove({name, heldUntilMs}: RemoveServerOptions): void {
		const known = this.#servers.get(name);
		if (known && heldUntilMs !== undefined && known.server.state === 'ready') {
			this.#servers.set(name, {...known, expiresAtMs: known.expiresAtMs ?? heldUntilMs});
			this.#usable = undefined;
		} else if (this.#servers.delete(name)) {
			this.#invalidate();
		}
	}

	/** Takes the entries out that lapsed and did not come back in time; answers their names. */
	expire(nowMs: number): readonly BackendServerName[] {
		const gone = [...this.#servers.values()].filter(({expiresAtMs: goneAtMs}) => goneAtMs !== undefined && nowMs >= goneAtMs).map(({server}) => server.name);
		for (const name of gone) {
			this.remove({name, heldUntilMs: undefined});
		}

		return gone;
	}

	/** Takes the servers of a failure domain out of use. */
	evacuate(failureDomain: FailureDomainName): void {
		this.#evacuated.add(failureDomain);
		this.#invalidate();
	}

	/** Takes the servers of a failure domain back into use; they count as warming up at first. */
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

	/** Servers of a service that may receive requests, cold ones included. */
	listUsable(service: ServiceName): readonly KnownServer[] {
		this.#usable ??= this.#groupUsable();
		return this.#usable.get(service) ?? [];
	}

	/** The entry of a server, whether it may be used or not. */
	entryOf(name: BackendServerName): KnownServer | undefined {
		return this.#servers.get(name);
	}

	/** Servers that are registered at an address. */
	listAt({address, port}: Pick<RegisteredServer, 'address' | 'port'>): readonly RegisteredServer[] {
		return [...this.#servers.values()].map(({server}) => server).filter(server => server.address === address && server.port === port);
	}

	/** The entry of a server that may receive requests now; undefined when there is none. */
	findUsable(name: BackendServerName): KnownServer | undefined {
		const known = this.#servers.get(name);
		return known && this.#isUsable(known) ? known : undefined;
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

/** Whether an entry was written before the one that is known: by an earlier start, or earlier in the same. */
function isOutdated({server, known}: {readonly server: RegisteredServer; readonly known: RegisteredServer}): boolean {
	const startedAtMs = server.startedAtMs ?? known.startedAtMs;
	if (startedAtMs !== known.startedAtMs) {
		return (startedAtMs ?? 0) < (known.startedAtMs ?? 0);
	}

	return server.startedAtMs !== undefined && server.heartbeat < known.heartbeat;
}

/** Whether two entries ask for the same treatment but for the warm-up. */
function isEquivalent({server, known}: {readonly server: RegisteredServer; readonly known: RegisteredServer}): boolean {
	return server.state === known.state && server.service === known.service && server.address === known.address && server.port === known.port
		&& server.failureDomain === known.failureDomain && server.slots === known.slots && server.startedAtMs === known.startedAtMs;
}
