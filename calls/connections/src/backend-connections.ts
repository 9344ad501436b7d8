/** Connections to all backend servers, with probes of idle ones. */
import {Client} from 'undici';
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Connection} from './connection.js';
import {probe} from './probe.js';
import type {ProbedHead} from './probe.js';
import {ServerConnections} from './server-connections.js';

const MOST_CONNECTIONS_PER_SERVER = 36;
const CONNECT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 250;
const PROBE_INTERVAL_MS = 1000;
const GONE_TIMEOUT_MS = 500;
const HEALTH_PATH = '/health';

/** Options of {@link BackendConnections}. */
export interface BackendConnectionsOptions {
	/** Called after the connections to a server were replaced as a group. */
	readonly onReplaced: (options: {readonly server: BackendServerName; readonly connections: number}) => void;
	/** Told of what a server answers when it is asked whether it has gone. */
	readonly onHealthAnswer?: (options: {readonly server: ConnectedServer; readonly head: ProbedHead}) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Connections that may be open to one backend server; asked for each new one. 36 by default. */
	readonly mostPerServer?: (server: ConnectedServer) => number;
	/** Time in which a live connection answers a probe, in milliseconds. */
	readonly probeTimeoutMs?: number;
	/** Time between two probes of idle connections to a server, in milliseconds; 0: no probes. */
	readonly probeIntervalMs?: number;
}

/** Where a backend server listens. */
export type ConnectedServer = Pick<BackendServer, 'name' | 'address' | 'port' | 'connections'>;

/** A connection lent to one attempt, and how to give it back. */
export interface ConnectionLease {
	readonly connection: Connection;
	/** Gives the connection back; one that may still carry an answer is closed. */
	release(options: {readonly isReusable: boolean}): void;
}

/** Lends connections to backend servers. */
export class BackendConnections {
	readonly #options: BackendConnectionsOptions;
	readonly #servers = new Map<BackendServerName, {readonly origin: string; readonly connections: ServerConnections}>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: BackendConnectionsOptions) {
		this.#options = options;
	}

	/** Starts probing idle connections. */
	start(): void {
		const intervalMs = this.#options.probeIntervalMs ?? PROBE_INTERVAL_MS;
		if (intervalMs > 0) {
			this.#timer = setInterval(() => {
				this.#probeAll();
			}, intervalMs);
			this.#timer.unref();
		}
	}

	/**
	 * Lends a connection to a server, a new one on demand; left when all that the server may have from this instance are
	 * in use.
	 */
	acquire({server, isNew = false}: {readonly server: ConnectedServer; readonly isNew?: boolean}): Either<'connections-exhausted', ConnectionLease> {
		const connections = this.#connectionsTo(server);
		const connection = connections.acquire({isNew});
		return connection
			? Right({
				connection, release({isReusable}) {
					connections.release({connection, isReusable});
				},
			})
			: Left('connections-exhausted');
	}

	/** Checks a server whose answer is overdue; replaces its connections when old ones are silent while a new one answers. */
	async suspect(server: ConnectedServer): Promise<boolean> {
		return this.#connectionsTo(server).check();
	}

	/** Whether a server that dropped a call has gone down: it answers on no new connection. */
	async isGone(server: ConnectedServer): Promise<boolean> {
		const {onHealthAnswer} = this.#options;
		return !await answersNew({
			server, onHead(head) {
				onHealthAnswer?.({server, head});
			},
		});
	}

	/** Connections open to a server. */
	openCount(server: ConnectedServer): number {
		return this.#connectionsTo(server).openCount;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all([...this.#servers.values()].map(async ({connections}) => connections.close()));
		this.#servers.clear();
	}

	#probeAll(): void {
		for (const {connections} of this.#servers.values()) {
			void connections.probeIdle();
		}
	}

	#connectionsTo(server: ConnectedServer): ServerConnections {
		const origin = originOf(server);
		const existing = this.#servers.get(server.name);
		if (existing?.origin === origin) {
			return existing.connections;
		}

		// A server of this name that moved keeps none of its old connections.
		void existing?.connections.retire();
		const {now, onReplaced, mostPerServer = () => MOST_CONNECTIONS_PER_SERVER, probeTimeoutMs = PROBE_TIMEOUT_MS} = this.#options;
		const connections = new ServerConnections({
			origin,
			most: () => mostPerServer(server),
			connectTimeoutMs: CONNECT_TIMEOUT_MS,
			probeTimeoutMs,
			healthPath: HEALTH_PATH,
			now,
			onReplaced(count) {
				onReplaced({server: server.name, connections: count});
			},
		});
		this.#servers.set(server.name, {origin, connections});
		return connections;
	}
}

/** Origin of a backend server. */
export function originOf({address, port}: ConnectedServer): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

/** Asks over a connection of its own; a process that is ending may still have connections accepted for it. */
async function answersNew({server, onHead}: {readonly server: ConnectedServer; readonly onHead: (head: ProbedHead) => void}): Promise<boolean> {
	const client = new Client(originOf(server), {connect: {timeout: GONE_TIMEOUT_MS}});
	const isAnswered = await probe({
		client, path: HEALTH_PATH, timeoutMs: GONE_TIMEOUT_MS, onHead,
	});
	await client.destroy();
	return isAnswered;
}
