/** Clients of other instances: one HTTP/2 session for each instance, replaced when a call times out. */
import type {ClientSessionOptions} from 'node:http2';
import {connect} from 'node:net';
import type {DescService} from '@bufbuild/protobuf';
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import type {Client, Transport} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Http2SessionManager} from '@connectrpc/connect-node';
import {EitherAsync, Left, Right} from 'purify-ts';
import {originOf} from '@pomelopick/core.types';
import type {Endpoint} from '@pomelopick/core.types';
import {GuardedSessionManager} from './guarded-session-manager.js';

const PING_INTERVAL_MS = 2000;
const PING_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 30_000;

const endedStates: ReadonlySet<ReturnType<Http2SessionManager['state']>> = new Set(['closed', 'error']);

/** Why a call to a peer failed. */
export interface PeerError {
	/** `not-sent`: the peer did not run the call. `lost`: it may have run it. `refused`: it returned an error. */
	readonly code: 'not-sent' | 'lost' | 'refused';
	readonly message: string;
}

/** Options of {@link PeerClients.call}. */
export interface PeerCallOptions<Service extends DescService, Result> {
	readonly endpoint: Endpoint;
	readonly service: Service;
	readonly timeoutMs: number;
	/** Makes the call with the given client and options. */
	readonly invoke: (client: Client<Service>, options: {readonly timeoutMs: number; readonly signal?: AbortSignal}) => Promise<Result>;
	readonly signal?: AbortSignal;
}

/** Calls one method of a peer; the part of {@link PeerClients} that services need. */
export type PeerCaller = Pick<PeerClients, 'call'>;

interface PeerConnection {
	readonly sessions: Http2SessionManager;
	readonly transport: Transport;
	/** Clients by service, kept because creating one costs more than a call. */
	readonly clients: Map<DescService, Client<DescService>>;
	callsInProgress: number;
}

/** Options of {@link PeerClients}. */
export interface PeerClientsOptions {
	/** Local address of connections; chosen by the operating system when absent. */
	readonly sourceAddress?: string;
}

/** Calls other instances. Every call has a deadline. */
export class PeerClients {
	readonly #connections = new Map<string, PeerConnection>();
	readonly #sourceAddress: string | undefined;

	constructor({sourceAddress}: PeerClientsOptions = {}) {
		this.#sourceAddress = sourceAddress;
	}

	/** Calls one method of a peer. Failures are returned as {@link PeerError}; it never rejects. */
	call<Service extends DescService, Result>({endpoint, service, timeoutMs, invoke, signal}: PeerCallOptions<Service, Result>): EitherAsync<PeerError, Result> {
		return EitherAsync.fromPromise(async () => {
			const origin = originOf(endpoint);
			const connection = this.#connectionTo(origin);
			connection.callsInProgress += 1;
			try {
				const client = clientOf({connection, service});
				// The protocol carries whole milliseconds only.
				return Right(await invoke(client, {timeoutMs: Math.max(1, Math.ceil(timeoutMs)), signal}));
			} catch (error) {
				return Left(this.#toPeerError({origin, error}));
			} finally {
				connection.callsInProgress -= 1;
			}
		});
	}

	/** Number of peers for which a session manager is kept. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Closes all sessions. */
	close(): void {
		for (const {sessions} of this.#connections.values()) {
			sessions.abort();
		}

		this.#connections.clear();
	}

	#connectionTo(origin: string): PeerConnection {
		const existing = this.#connections.get(origin);
		if (existing) {
			return existing;
		}

		this.#dropEnded();
		const sessions = new GuardedSessionManager(origin, {pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS, idleConnectionTimeoutMs: IDLE_TIMEOUT_MS}, this.#sessionOptions());
		const transport = createConnectTransport({baseUrl: origin, httpVersion: '2', sessionManager: sessions});
		const connection = {
			sessions, transport, clients: new Map(), callsInProgress: 0,
		};
		this.#connections.set(origin, connection);
		return connection;
	}

	#sessionOptions(): ClientSessionOptions | undefined {
		const localAddress = this.#sourceAddress;
		if (localAddress === undefined) {
			return undefined;
		}

		return {createConnection: ({hostname, port}) => connect({host: hostname.replaceAll(/[[\]]/gu, ''), port: Number(port), localAddress})};
	}

	#toPeerError({origin, error}: {readonly origin: string; readonly error: unknown}): PeerError {
		const connectError = ConnectError.from(error);
		const message = `${origin}: ${connectError.message}`;
		if (connectError.code === Code.DeadlineExceeded) {
			// The connection may have gone silent, so the next call opens a new session.
			this.#drop(origin);
			return {code: 'lost', message};
		}

		const isRefused = (connectError.cause as {code?: string} | undefined)?.code === 'ECONNREFUSED';
		if (isRefused) {
			return {code: 'not-sent', message};
		}

		const isTransportFault = connectError.code === Code.Unavailable || connectError.code === Code.Aborted || connectError.code === Code.Canceled || connectError.code === Code.Internal;
		return {code: isTransportFault ? 'lost' : 'refused', message};
	}

	/** Removes ended connections. Instances are often replaced by ones with other addresses, so that entries would otherwise accumulate. */
	#dropEnded(): void {
		for (const [origin, {sessions, callsInProgress}] of this.#connections) {
			if (callsInProgress === 0 && endedStates.has(sessions.state())) {
				this.#connections.delete(origin);
			}
		}
	}

	#drop(origin: string): void {
		this.#connections.get(origin)?.sessions.abort();
		this.#connections.delete(origin);
	}
}

function clientOf<Service extends DescService>({connection, service}: {readonly connection: PeerConnection; readonly service: Service}): Client<Service> {
	const client = connection.clients.get(service) as Client<Service> | undefined ?? createClient(service, connection.transport);
	connection.clients.set(service, client);
	return client;
}
