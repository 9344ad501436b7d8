/**
 * Connections to all backend servers, with probes of idle ones.
 *
 * A connection is called silent when it is open but delivers no data although the server works.
 */
import {Client} from 'undici';
import {createConnector} from '@pomelopick/core.http';
import {originOf} from '@pomelopick/core.types';
import type {BackendServer, BackendServerName} from '@pomelopick/core.types';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Connection} from './connection.js';
import {probe} from './probe.js';
import type {HealthState, ProbeResponseHead} from './probe.js';
import {ServerConnections} from './server-connections.js';

const DEFAULT_MAX_CONNECTIONS_PER_SERVER = 36;
const CONNECT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 250;
const PROBE_INTERVAL_MS = 1000;
/** Time in which a server must respond on a new connection so as not to be treated as crashed, in milliseconds. */
const CRASH_CHECK_TIMEOUT_MS = 500;
const HEALTH_PATH = '/health';
/** Time after the begin of a health check in which others join it, in milliseconds: too short for the server to have changed. */
const SHARED_CHECK_MS = 5;

/** Result of a health check. */
export interface HealthAnswer {
	readonly state: HealthState;
	/** Head of the response; undefined if there was none. */
	readonly head: ProbeResponseHead | undefined;
}

interface HealthCheck {
	/** Monotonic time, in milliseconds. */
	readonly sentAtMs: number;
	readonly answer: Promise<HealthAnswer>;
}

/** Options of {@link BackendConnections}. */
export interface BackendConnectionsOptions {
	/** Called after all connections to a server were replaced because they were silent. */
	readonly onReplaced: (options: {readonly server: BackendServerName; readonly connections: number}) => void;
	/** Called with the head of a server's health response when {@link BackendConnections.checkHealth} asks for it, and with the monotonic time at which the check began, in milliseconds. */
	readonly onHealthAnswer?: (options: {readonly server: ConnectedServer; readonly head: ProbeResponseHead; readonly sentAtMs: number}) => void;
	/** Called when an idle connection to a server was reset, which a server that keeps running has no reason for. */
	readonly onIdleReset?: (server: ConnectedServer) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Maximum connections to one backend server, read before each new one. 36 by default. */
	readonly maxPerServer?: (server: ConnectedServer) => number;
	/** Time in which a working connection responds to a probe, in milliseconds. */
	readonly probeTimeoutMs?: number;
	/** Timeout for connecting to a server, in milliseconds. */
	readonly connectTimeoutMs?: number;
	/** Time between two probes of idle connections to a server, in milliseconds; 0: no probes. */
	readonly probeIntervalMs?: number;
}

/** Name and address of a backend server, with its limit on connections. */
export type ConnectedServer = Pick<BackendServer, 'name' | 'address' | 'port' | 'connections'>;

/** A connection that is lent to one attempt until it is released. */
export interface ConnectionLease {
	readonly connection: Connection;
	/** Returns the connection. It must not be reusable when a response may still arrive on it; it is then reset. */
	release(options: {readonly isReusable: boolean}): void;
}

/** Lends connections to backend servers. */
export class BackendConnections {
	readonly #options: BackendConnectionsOptions;
	readonly #servers = new Map<BackendServerName, {readonly origin: string; readonly connections: ServerConnections}>();
	readonly #healthChecks = new Map<string, HealthCheck>();
	#probeTimer: NodeJS.Timeout | undefined;

	constructor(options: BackendConnectionsOptions) {
		this.#options = options;
	}

	/** Starts probing idle connections. */
	start(): void {
		const intervalMs = this.#options.probeIntervalMs ?? PROBE_INTERVAL_MS;
		if (intervalMs > 0) {
			this.#probeTimer = setInterval(() => {
				this.#probeAll();
			}, intervalMs);
			this.#probeTimer.unref();
		}
	}

	/**
	 * Lends an idle connection to a server, or a new one when there is none or `isNew` is set. Left: all connections that
	 * this instance may open to the server are in use.
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

	/** Checks a server whose response is overdue; replaces its connections when old ones are silent while a new one responds. */
	async checkConnections(server: ConnectedServer): Promise<boolean> {
		return this.#connectionsTo(server).check();
	}

	/** Whether a server that dropped a call has crashed: it does not respond on a new connection. */
	async hasCrashed(server: ConnectedServer): Promise<boolean> {
		return await this.checkHealth(server) !== 'responded';
	}

	/** Sends a health request to a server on a new connection. Never rejects. */
	async checkHealth(server: ConnectedServer): Promise<HealthState> {
		const {state} = await this.askHealth(server);
		return state;
	}

	/** Like {@link checkHealth}, with the response. Calls at the same time share one check. */
	async askHealth(server: ConnectedServer): Promise<HealthAnswer> {
		const {onHealthAnswer, now} = this.#options;
		const origin = originOf(server);
		const sentAtMs = now();
		const running = this.#healthChecks.get(origin);
		if (running && sentAtMs - running.sentAtMs < SHARED_CHECK_MS) {
			return running.answer;
		}

		const answer = checkOnNewConnection({
			server, onHead(head) {
				onHealthAnswer?.({server, head, sentAtMs});
			},
		});
		const check: HealthCheck = {sentAtMs, answer};
		this.#healthChecks.set(origin, check);
		await answer;
		if (this.#healthChecks.get(origin) === check) {
			this.#healthChecks.delete(origin);
		}

		return answer;
	}

	/** Connections open to a server. */
	openCount(server: ConnectedServer): number {
		return this.#connectionsTo(server).openCount;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		clearInterval(this.#probeTimer);
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

		// The server has a new address: its old connections are closed.
		void existing?.connections.retire();
		const {now, onReplaced, onIdleReset, connectTimeoutMs = CONNECT_TIMEOUT_MS, maxPerServer = () => DEFAULT_MAX_CONNECTIONS_PER_SERVER, probeTimeoutMs = PROBE_TIMEOUT_MS} = this.#options;
		const connections = new ServerConnections({
			origin,
			maxConnections: () => maxPerServer(server),
			connectTimeoutMs,
			probeTimeoutMs,
			healthPath: HEALTH_PATH,
			now,
			onReplaced(count) {
				onReplaced({server: server.name, connections: count});
			},
			onIdleReset() {
				onIdleReset?.(server);
			},
		});
		this.#servers.set(server.name, {origin, connections});
		return connections;
	}
}

/** Options of {@link checkOnConnection}. */
export interface CheckOnConnectionOptions {
	readonly connection: Connection;
	readonly timeoutMs: number;
	/** Called with the head of the response. */
	readonly onHead: (head: ProbeResponseHead) => void;
}

/** Sends a health request on a connection that was lent and whose socket is connected; returns whether the server answered in time. Never rejects. */
export async function checkOnConnection({connection, timeoutMs, onHead}: CheckOnConnectionOptions): Promise<boolean> {
	const hasAnswered = await probe({
		client: connection.client, path: HEALTH_PATH, timeoutMs, onHead,
	});
	connection.isChecked = hasAnswered;
	connection.wasUsed ||= hasAnswered;
	return hasAnswered;
}

/** Sends a health request on a new connection. Connecting alone proves nothing: the kernel may still accept connections for a process that is ending. */
async function checkOnNewConnection({server, onHead}: {readonly server: ConnectedServer; readonly onHead: (head: ProbeResponseHead) => void}): Promise<HealthAnswer> {
	const client = new Client(originOf(server), {connect: createConnector({timeoutMs: CRASH_CHECK_TIMEOUT_MS})});
	let isConnected = false;
	let answerHead: ProbeResponseHead | undefined;
	client.once('connect', () => {
		isConnected = true;
	});
	const hasResponded = await probe({
		client, path: HEALTH_PATH, timeoutMs: CRASH_CHECK_TIMEOUT_MS, onHead(head) {
			answerHead = head;
			onHead(head);
		},
	});
	await client.destroy();
	return {state: hasResponded ? 'responded' : (isConnected ? 'connected' : 'unreachable'), head: answerHead};
}
