/** Forwards large responses to callers while they arrive. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ResponseHead, AttemptFailure} from './attempt-response.js';
import type {ResponseReservation} from './buffer-budget.js';

/** Options of {@link ResponseForwarder}. */
export interface ResponseForwarderOptions {
	readonly head: ResponseHead;
	/** The part of the body that was received so far. */
	readonly bufferedPieces: readonly Uint8Array[];
	/** Bytes that the response holds; undefined: it is not read ahead of its caller. */
	readonly reservation: ResponseReservation | undefined;
	/** Stops reading from the backend server; pieces that were read before may still follow. */
	readonly holdReading: () => void;
	/** Goes on reading. */
	readonly releaseReading: () => void;
}

/**
 * Forwards one response that is too large to buffer. Reading from the backend server is held from the start until the
 * caller's side takes data, and whenever the caller's buffer is full and the response may not be read further ahead.
 */
export class ResponseForwarder {
	readonly #options: ResponseForwarderOptions;
	readonly #done: Promise<Either<AttemptFailure, void>>;
	/** Pieces that arrived before the caller's response was started. */
	readonly #pieces: Uint8Array[];
	#settle!: (result: Either<AttemptFailure, void>) => void;
	#response: ServerResponse | undefined;
	#failure: AttemptFailure | undefined;
	#isEnded = false;

	constructor(options: ResponseForwarderOptions) {
		this.#options = options;
		this.#pieces = [...options.bufferedPieces];
		this.#done = new Promise(resolve => {
			this.#settle = resolve;
		});
		options.holdReading();
	}

	/** Starts sending to the caller; resolves at the end of the response. Left: the response was truncated. */
	async start(response: ServerResponse): Promise<Either<AttemptFailure, void>> {
		const {head} = this.#options;
		this.#response = response;
		if (this.#failure) {
			this.fail(this.#failure);
			return this.#done;
		}

		response.writeHead(head.status, head.headers);
		this.#watchRoom(response);
		for (const piece of this.#pieces.splice(0)) {
			this.#send({response, piece});
		}

		if (this.#isEnded) {
			this.end();
		} else {
			this.#adjustReading(response);
		}

		return this.#done;
	}

	/** Sends a piece. */
	write(piece: Uint8Array): void {
		if (!this.#response) {
			this.#pieces.push(piece);
		} else if (!this.#send({response: this.#response, piece})) {
			this.#adjustReading(this.#response);
		}
	}

	/** Ends the response after its last piece. */
	end(): void {
		this.#isEnded = true;
		if (this.#response) {
			this.#response.end();
			this.#settle(Right(undefined));
		}
	}

	/** Resets the caller's connection, so that the caller cannot take a truncated response for a complete one. */
	fail(failure: AttemptFailure): void {
		this.#failure = failure;
		if (this.#response) {
			resetCallerConnection(this.#response);
			this.#settle(Left(failure));
		}
	}

	/** Hands a piece to the caller's connection; false when the caller's buffer is full. */
	#send({response, piece}: {readonly response: ServerResponse; readonly piece: Uint8Array}): boolean {
		const {reservation} = this.#options;
		return reservation
			? response.write(piece, () => {
				reservation.releaseBytes(piece.length);
			})
			: response.write(piece);
	}

	/** Reads on if the caller's buffer has room or the response may be read ahead; otherwise holds reading until one of these changes. */
	#adjustReading(response: ServerResponse): void {
		const {reservation, holdReading, releaseReading} = this.#options;
		if (this.#isEnded || this.#failure) {
			return;
		}

		if (!isFull(response) || reservation?.mayReadAhead() === true) {
			releaseReading();
			return;
		}

		holdReading();
		reservation?.onceReleased(() => {
			this.#adjustReading(response);
		});
	}

	/**
	 * Goes on reading whenever the caller's buffer has room. The runtime passes the `drain` of the connection on to its responses
	 * only until a request for a tunnel arrives behind them, and also emits it on a response that is still full.
	 */
	#watchRoom(response: ServerResponse): void {
		const adjustReading = (): void => {
			this.#adjustReading(response);
		};

		const watchSocket = (socket: Socket): void => {
			socket.on('drain', adjustReading);
			response.once('close', () => {
				socket.off('drain', adjustReading);
			});
		};

		// Emitted without the connection's own if everything buffered fits when the response gets its turn on the connection.
		response.on('drain', adjustReading);
		if (response.socket) {
			watchSocket(response.socket);
		} else {
			response.once('socket', watchSocket);
		}
	}
}

/** Resets the caller's connection (TCP RST). */
export function resetCallerConnection(response: ServerResponse): void {
	if (response.socket) {
		response.socket.resetAndDestroy();
	} else {
		response.destroy();
	}
}

function isFull({writableLength, writableHighWaterMark}: ServerResponse): boolean {
	return writableLength >= writableHighWaterMark;
}
