/** The connections of this instance to one backend server. */
import {Client} from 'undici';
import type {Connection} from './connection.js';
import {ConnectionSocket} from './connection-socket.js';
import {HoldTimes} from './hold-times.js';
import {probe} from './probe.js';

/** Options of {@link ServerConnections}. */
export interface ServerConnectionsOptions {
	readonly origin: string;
	/** Maximum connections, at least 2; read before each new one. */
	readonly maxConnections: () => number;
	readonly connectTimeoutMs: number;
	/** Time in which a working connection responds to a probe, in milliseconds. */
	readonly probeTimeoutMs: number;
	readonly healthPath: string;
	/** Called after all connections were replaced, with their number. */
	readonly onReplaced: (connections: number) => void;
	/** Called when an idle connection was reset, which a server that keeps running has no reason for. */
	readonly onIdleReset: () => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Lends connections, and replaces all of them when old ones are silent while a new one responds. */
export class ServerConnections {
	readonly #options: ServerConnectionsOptions;
	#idle: Connection[] = [];
	readonly #lent = new Set<Connection>();
	readonly #holdTimes = new HoldTimes();
	#openCount = 0;
	#runningCheck: Promise<boolean> | undefined;

	constructor(options: ServerConnectionsOptions) {
		this.#options = options;
	}

	/** Number of connections whose socket is open. */
	get openCount(): number {
		return this.#openCount;
	}

	/** Number of lent and idle connections, including closed ones that were not removed yet. */
	get size(): number {
		return this.#idle.length + this.#lent.size;
	}

	/** Lends the most recently used idle connection, or a new one; undefined when the maximum is reached. */
	acquire({isNew}: {readonly isNew: boolean}): Connection | undefined {
		const idle = isNew ? undefined : this.#idle.pop();
		const connection = idle ?? (this.#lent.size < this.#options.maxConnections() - RESERVED_FOR_CHECKS ? this.#create() : undefined);
		if (connection) {
			connection.lentAtMs = this.#options.now();
			connection.lastReceivedAtMs = connection.lentAtMs;
			this.#lent.add(connection);
		}

		return connection;
	}

	/**
	 * Takes a connection back. One on which a response may still arrive must not be reusable. It is reset, because after a
	 * plain close request data that is delayed in the network could still reach the server.
	 */
	release({connection, isReusable}: {readonly connection: Connection; readonly isReusable: boolean}): void {
		connection.onSilent = undefined;
		connection.connectsByItself = true;
		connection.releaseReading();
		const wasLent = this.#lent.delete(connection);
		if (wasLent && isReusable) {
			this.#holdTimes.record(this.#options.now() - connection.lentAtMs);
			connection.wasUsed = true;
			this.#idle.push(connection);
		} else {
			connection.reset();
			void connection.client.destroy();
		}
	}

	/** Probes the connection that has been idle longest; replaces all connections when it is silent while a new one responds. */
	async probeIdle(): Promise<void> {
		this.#dropClosed();
		if (this.#idle.length > 0) {
			await this.check();
		}
	}

	/**
	 * Probes an idle connection and, if it does not respond, a new one. Concurrent calls share one check.
	 *
	 * @returns Whether the connections were silent and have been replaced.
	 */
	async check(): Promise<boolean> {
		this.#runningCheck ??= this.#compareWithNew();
		try {
			return await this.#runningCheck;
		} finally {
			this.#runningCheck = undefined;
		}
	}

	/** Closes idle connections now, and lent ones when they are released. */
	async retire(): Promise<void> {
		const idle = this.#idle;
		this.#idle = [];
		this.#lent.clear();
		await Promise.all(idle.map(async ({client}) => client.destroy()));
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		const lent = [...this.#lent];
		await Promise.all([this.retire(), ...lent.map(async ({client}) => client.destroy())]);
	}

	async #compareWithNew(): Promise<boolean> {
		const {healthPath, probeTimeoutMs} = this.#options;
		const startedAtMs = this.#options.now();
		this.#dropClosed();
		const old = this.#idle.shift();
		if (old) {
			this.#lent.add(old);
			const hasResponded = await probe({client: old.client, path: healthPath, timeoutMs: probeTimeoutMs});
			this.release({connection: old, isReusable: hasResponded});
			if (hasResponded) {
				return false;
			}
		} else if (!this.#areLentSilent(startedAtMs)) {
			return false;
		}

		const replacement = this.#create();
		this.#lent.add(replacement);
		const hasNewResponded = await probe({client: replacement.client, path: healthPath, timeoutMs: probeTimeoutMs});
		if (hasNewResponded) {
			this.#replaceAll({kept: replacement, startedAtMs});
		}

		this.release({connection: replacement, isReusable: hasNewResponded});
		return hasNewResponded;
	}

	/**
	 * Decides without an idle connection to probe. Lent connections are silent when at least two of them received nothing
	 * for longer than the silence threshold, and no other connection as old as them received anything. Before enough calls
	 * have completed, their usual duration is unknown and no connection is treated as silent.
	 */
	#areLentSilent(nowMs: number): boolean {
		const {silenceThresholdMs} = this.#holdTimes;
		if (silenceThresholdMs === undefined) {
			return false;
		}

		const sinceMs = nowMs - Math.max(this.#options.probeTimeoutMs, silenceThresholdMs);
		const old = [...this.#lent].filter(({createdAtMs}) => createdAtMs < sinceMs);
		const silent = old.filter(({lastReceivedAtMs}) => lastReceivedAtMs < sinceMs);
		return silent.length > 1 && silent.length === old.length;
	}

	#replaceAll({kept, startedAtMs}: {readonly kept: Connection; readonly startedAtMs: number}): void {
		const idle = this.#idle;
		this.#idle = [];
		for (const {client} of idle) {
			void client.destroy();
		}

		// A lent connection that received data during the check works; the others are not lent again.
		const silent = [...this.#lent].filter(connection => connection !== kept && connection.createdAtMs < startedAtMs && connection.lastReceivedAtMs < startedAtMs);
		for (const connection of silent) {
			this.#lent.delete(connection);
			connection.onSilent?.();
		}

		this.#options.onReplaced(idle.length + silent.length);
	}

	#dropClosed(): void {
		const closed = this.#idle.filter(({isOpen}) => !isOpen);
		this.#idle = this.#idle.filter(({isOpen}) => isOpen);
		for (const {client} of closed) {
			void client.destroy();
		}
	}

	#create(): Connection {
		const {origin, connectTimeoutMs, now, maxConnections} = this.#options;
		while (this.size >= maxConnections() && this.#idle.length > 0) {
			void this.#idle.shift()!.client.destroy();
		}

		const socket = new ConnectionSocket({
			origin, timeoutMs: connectTimeoutMs, connection: () => connection,
		});
		const client = new Client(origin, {
			pipelining: 1, connect: socket.connect, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: KEEP_ALIVE_MS,
		});
		const connection: Connection = {
			client,
			open: async () => socket.open(),
			reset() {
				socket.reset();
			},
			get isOpen() {
				return socket.isOpen;
			},
			holdReading() {
				socket.holdReading();
			},
			releaseReading() {
				socket.releaseReading();
			},
			onSilent: undefined,
			createdAtMs: now(),
			openedAtMs: Number.POSITIVE_INFINITY,
			lastReceivedAtMs: now(),
			lentAtMs: now(),
			wasUsed: false,
			isChecked: false,
			connectsByItself: true,
			wasReset: false,
		};
		let isCounted = false;
		client.on('connect', () => {
			connection.wasUsed = false;
			connection.isChecked = false;
			connection.openedAtMs = now();
			this.#openCount += isCounted ? 0 : 1;
			isCounted = true;
		});
		client.on('disconnect', () => {
			this.#openCount -= isCounted ? 1 : 0;
			isCounted = false;
			if (connection.wasReset && this.#idle.includes(connection)) {
				this.#options.onIdleReset();
			}
		});
		return connection;
	}
}

const KEEP_ALIVE_MS = 10_000;
/** Connections that are not lent, so that a check can open a new one. */
const RESERVED_FOR_CHECKS = 1;
