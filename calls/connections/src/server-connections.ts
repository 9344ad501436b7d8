/** The connections of this instance to one backend server. */
import {buildConnector, Client, errors} from 'undici';
import type {Connection} from './connection.js';
import {HoldTimes} from './hold-times.js';
import {probe} from './probe.js';

/** Options of {@link ServerConnections}. */
export interface ServerConnectionsOptions {
	readonly origin: string;
	/** Connections that may be open at once, at least 2; asked for each new one. */
	readonly most: () => number;
	readonly connectTimeoutMs: number;
	/** Time in which a live connection answers a probe, in milliseconds. */
	readonly probeTimeoutMs: number;
	readonly healthPath: string;
	/** Called after the connections were replaced as a group. */
	readonly onReplaced: (connections: number) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Lends connections, and replaces all of them when old ones are silent while a new one answers. */
export class ServerConnections {
	readonly #options: ServerConnectionsOptions;
	#idle: Connection[] = [];
	readonly #lent = new Set<Connection>();
	readonly #holds = new HoldTimes();
	#open = 0;
	#checking: Promise<boolean> | undefined;

	constructor(options: ServerConnectionsOptions) {
		this.#options = options;
	}

	/** Connections whose socket is open. */
	get openCount(): number {
		return this.#open;
	}

	/** Connections in use and idle ones, closed ones that were not yet dropped included. */
	get size(): number {
		return this.#idle.length + this.#lent.size;
	}

	/** Lends an idle connection, the most recently used first, or a new one; undefined at the limit. */
	acquire({isNew}: {readonly isNew: boolean}): Connection | undefined {
		const idle = isNew ? undefined : this.#idle.pop();
		const connection = idle ?? (this.#lent.size < this.#options.most() - COMPARED_CONNECTIONS ? this.#create() : undefined);
		if (connection) {
			connection.lentAtMs = this.#options.now();
			connection.lastAnswerAtMs = connection.lentAtMs;
			this.#lent.add(connection);
		}

		return connection;
	}

	/** Takes a connection back. One that may still carry an answer must not be reusable; it is reset, since a close would leave what is held up on its way to arrive later. */
	release({connection, isReusable}: {readonly connection: Connection; readonly isReusable: boolean}): void {
		connection.onSilent = undefined;
		const wasKept = this.#lent.delete(connection);
		if (wasKept && isReusable) {
			this.#holds.note(this.#options.now() - connection.lentAtMs);
			this.#idle.push(connection);
		} else {
			connection.reset();
			void connection.client.destroy();
		}
	}

	/** Probes the connection that has been idle longest; replaces the group when it is silent while a new one answers. */
	async probeIdle(): Promise<void> {
		this.#dropClosed();
		if (this.#idle.length > 0) {
			await this.check();
		}
	}

	/**
	 * Compares an idle connection with a new one. Calls at the same time share one comparison.
	 *
	 * @returns Whether the group was found silent and replaced.
	 */
	async check(): Promise<boolean> {
		this.#checking ??= this.#compare();
		try {
			return await this.#checking;
		} finally {
			this.#checking = undefined;
		}
	}

	/** Closes idle connections now, and lent ones when they come back. */
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

	async #compare(): Promise<boolean> {
		const {healthPath, probeTimeoutMs} = this.#options;
		const startedAtMs = this.#options.now();
		this.#dropClosed();
		const old = this.#idle.shift();
		if (old) {
			this.#lent.add(old);
			const isAnswered = await probe({client: old.client, path: healthPath, timeoutMs: probeTimeoutMs});
			this.release({connection: old, isReusable: isAnswered});
			if (isAnswered) {
				return false;
			}
		} else if (!this.#isLentSilent(startedAtMs)) {
			return false;
		}

		const fresh = this.#create();
		this.#lent.add(fresh);
		const isNewAnswered = await probe({client: fresh.client, path: healthPath, timeoutMs: probeTimeoutMs});
		if (isNewAnswered) {
			this.#replace({kept: fresh, startedAtMs});
		}

		this.release({connection: fresh, isReusable: isNewAnswered});
		return isNewAnswered;
	}

	/**
	 * Without an idle connection to probe: at least two lent ones had not a byte for longer than any call of late took,
	 * and no other that is as old had one. While few calls were answered nothing is known of how long they take.
	 */
	#isLentSilent(nowMs: number): boolean {
		const {unexplainedMs} = this.#holds;
		if (unexplainedMs === undefined) {
			return false;
		}

		const sinceMs = nowMs - Math.max(this.#options.probeTimeoutMs, unexplainedMs);
		const old = [...this.#lent].filter(({createdAtMs}) => createdAtMs < sinceMs);
		const quiet = old.filter(({lastAnswerAtMs}) => lastAnswerAtMs < sinceMs);
		return quiet.length > 1 && quiet.length === old.length;
	}

	#replace({kept, startedAtMs}: {readonly kept: Connection; readonly startedAtMs: number}): void {
		const idle = this.#idle;
		this.#idle = [];
		for (const {client} of idle) {
			void client.destroy();
		}

		// A lent connection that answered meanwhile is alive; the others are not lent again.
		const silent = [...this.#lent].filter(connection => connection !== kept && connection.createdAtMs < startedAtMs && connection.lastAnswerAtMs < startedAtMs);
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
		const {origin, connectTimeoutMs, now, most} = this.#options;
		while (this.size >= most() && this.#idle.length > 0) {
			void this.#idle.shift()!.client.destroy();
		}

		const client = new Client(origin, {
			pipelining: 1, connect: noteResets({timeoutMs: connectTimeoutMs, connection: () => connection}), headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: KEEP_ALIVE_MS,
		});
		const connection: Connection = {
			client,
			reset() {/* There is no socket yet. */},
			onSilent: undefined,
			createdAtMs: now(),
			lastAnswerAtMs: now(),
			lentAtMs: now(),
			isOpen: false,
			wasReset: false,
			isUnframed: false,
		};
		client.on('connect', () => {
			connection.isOpen = true;
			this.#open += 1;
		});
		client.on('disconnect', () => {
			if (connection.isOpen) {
				connection.isOpen = false;
				this.#open -= 1;
			}
		});
		return connection;
	}
}

interface NoteResetsOptions {
	readonly timeoutMs: number;
	readonly connection: () => Connection;
}

/**
 * Connects as the library does, and notes resets before the library learns of the end.
 *
 * A reset that arrives together with the last data is reported as a clean end of the stream, since libuv takes a
 * hang-up after a short read for one. A write tells the two apart: it fails on a connection that was reset. Empty
 * lines before a request are to be ignored (RFC 9112, section 2.2).
 */
function noteResets({timeoutMs, connection}: NoteResetsOptions): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				Object.assign(connection(), {
					wasReset: false, isUnframed: false, reset() {
						// Without an error the library would take the close for the end of an answer that has no length, also of one that was given up.
						socket.emit('error', new errors.RequestAbortedError('the connection was given up'));
						socket.resetAndDestroy();
					},
				});
				const note = (error: Error | null | undefined): void => { // eslint-disable-line @typescript-eslint/no-restricted-types
					connection().wasReset ||= isReset(error);
				};

				socket.prependListener('error', note);
				socket.prependListener('end', () => {
					if (connection().isUnframed) {
						socket.write(EMPTY_LINE, note);
					}
				});
			}

			callback(...result);
		});
	};
}

const EMPTY_LINE = '\r\n';

function isReset(error: (Error & {code?: string}) | null | undefined): boolean { // eslint-disable-line @typescript-eslint/no-restricted-types
	return error?.code === 'EPIPE' || error?.code === 'ECONNRESET';
}

const KEEP_ALIVE_MS = 10_000;
/** Room that is kept for the new connection of a comparison. */
const COMPARED_CONNECTIONS = 1;
