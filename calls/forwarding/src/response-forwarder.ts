/** Forwards large responses to callers while they arrive. */
import type {ServerResponse} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ResponseHead, AttemptFailure} from './attempt-response.js';

/** Options of {@link ResponseForwarder}. */
export interface ResponseForwarderOptions {
	readonly head: ResponseHead;
	/** The part of the body that was received so far. */
	readonly bufferedPieces: readonly Uint8Array[];
	/** Stops reading from the backend server; pieces that were read before may still follow. */
	readonly holdReading: () => void;
	/** Goes on reading. */
	readonly releaseReading: () => void;
}

/**
 * Forwards one response that is too large to buffer. Reading from the backend server is held from the start until the
 * caller's side takes data, and whenever the caller's buffer is full.
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
	#awaitsSocket = false;

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
		response.on('drain', () => {
			this.#releaseUnlessFull(response);
		});
		for (const piece of this.#pieces.splice(0)) {
			response.write(piece);
		}

		if (this.#isEnded) {
			this.end();
		} else if (!isFull(response)) {
			this.#options.releaseReading();
		}

		return this.#done;
	}

	/** Sends a piece. */
	write(piece: Uint8Array): void {
		if (!this.#response) {
			this.#pieces.push(piece);
		} else if (!this.#response.write(piece)) {
			this.#options.holdReading();
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

	/** The runtime also emits `drain` when another response on the caller's connection is written while this one is still full. */
	#releaseUnlessFull(response: ServerResponse): void {
		if (!isFull(response)) {
			this.#options.releaseReading();
		} else if (!this.#awaitsSocket) {
			this.#awaitsSocket = true;
			response.socket?.once('drain', () => {
				this.#awaitsSocket = false;
				this.#releaseUnlessFull(response);
			});
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
