/** The socket of a connection to a backend server. It can be connected before a request is given to the HTTP library. */
import {Either, Left, Right} from 'purify-ts';
import {errors} from 'undici';
import type {buildConnector} from 'undici';
import {ConnectionResetError, createConnector} from '@pomelopick/core.http';
import type {Connection} from './connection.js';
import {ReadingGate} from './reading-gate.js';

type Socket = Exclude<Parameters<buildConnector.Callback>[1], null>; // eslint-disable-line @typescript-eslint/no-restricted-types

/** Options of {@link ConnectionSocket}. */
export interface ConnectionSocketOptions {
	readonly origin: string;
	readonly timeoutMs: number;
	/** The connection, in which a reset is recorded and which says whether the library may connect. */
	readonly connection: () => Pick<Connection, 'wasReset' | 'connectsByItself'>;
}

/** Connects sockets like the library does, and records resets before the library handles the end of the connection. */
export class ConnectionSocket {
	readonly #options: ConnectionSocketOptions;
	readonly #connect: buildConnector.connector;
	/** The last socket that was connected. */
	#socket: Socket | undefined;
	/** Decides when the library may read from the last socket. */
	#gate: ReadingGate | undefined;
	/** Whether the library has not yet taken the last socket. */
	#isUntaken = false;
	#wasReset = false;

	constructor(options: ConnectionSocketOptions) {
		this.#options = options;
		this.#connect = createConnector({timeoutMs: options.timeoutMs});
	}

	/** Whether the socket is connected. */
	get isOpen(): boolean {
		return this.#socket?.destroyed === false;
	}

	/** Connects the socket unless it is connected. Left: why it cannot be connected. */
	async open(): Promise<Either<Error, void>> {
		if (this.isOpen) {
			return Right(undefined);
		}

		return new Promise(resolve => {
			// An address that cannot be used makes the runtime throw.
			Either.encase(() => {
				const {protocol, host, hostname, port} = new URL(this.#options.origin);
				const target = {
					protocol, host, hostname: hostname.replaceAll(/[[\]]/gu, ''), port,
				};
				this.#open(target, (...[error, socket]) => {
					this.#isUntaken = socket !== null;
					resolve(socket ? Right(undefined) : Left(error));
				});
			}).ifLeft(error => {
				resolve(Left(error));
			});
		});
	}

	/** Connector for the library: hands over the socket that was connected for it, or else connects one if it may. */
	readonly connect: buildConnector.connector = (options, callback) => {
		if (this.#isUntaken && this.isOpen) {
			this.#isUntaken = false;
			const socket = this.#socket!;
			// Called at once, the library would not go on with the request.
			queueMicrotask(() => {
				callback(null, socket);
			});
			return;
		}

		if (!this.#options.connection().connectsByItself) {
			queueMicrotask(() => {
				callback(new errors.RequestAbortedError('the connection was closed before the request was written'), null);
			});
			return;
		}

		this.#open(options, callback);
	};

	/** Resets the socket, also one that is still being connected. */
	reset(): void {
		this.#wasReset = true;
		const socket = this.#socket;
		if (socket) {
			// Without an error the library would treat the close as the end of a response without a length, even if its request was aborted.
			socket.emit('error', new errors.RequestAbortedError('the connection was reset because its request was aborted'));
			socket.resetAndDestroy();
		}
	}

	/** Stops reading from the socket, once it is connected. */
	holdReading(): void {
		this.#gate?.close();
	}

	/** Goes on reading. */
	releaseReading(): void {
		this.#gate?.open();
	}

	#open(options: buildConnector.Options, callback: buildConnector.Callback): void {
		this.#connect(options, (...result) => {
			const [, socket] = result;
			if (socket && this.#wasReset) {
				socket.resetAndDestroy();
				callback(new errors.RequestAbortedError('the connection was reset while it was being connected'), null);
				return;
			}

			if (socket) {
				this.#socket = socket;
				this.#gate = new ReadingGate(socket);
				this.#watch(socket);
			}

			callback(...result);
		});
	}

	#watch(socket: Socket): void {
		const connection = this.#options.connection();
		connection.wasReset = false;
		socket.prependListener('error', error => {
			connection.wasReset ||= error instanceof ConnectionResetError;
		});
	}
}
