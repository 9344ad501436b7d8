/** Forwards large responses to callers while they arrive. */
import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {ResponseHead, AttemptFailure} from './attempt-response.js';

/** Options of {@link ResponseForwarder}. */
export interface ResponseForwarderOptions {
	readonly head: ResponseHead;
	/** The part of the body that was received so far. */
	readonly bufferedPieces: readonly Uint8Array[];
	readonly controller: Dispatcher.DispatchController;
}

/** Forwards one response that is too large to buffer. */
export class ResponseForwarder {
	readonly #options: ResponseForwarderOptions;
	readonly #done: Promise<Either<AttemptFailure, void>>;
	#settle!: (result: Either<AttemptFailure, void>) => void;
	#response: ServerResponse | undefined;
	#failure: AttemptFailure | undefined;

	constructor(options: ResponseForwarderOptions) {
		this.#options = options;
		this.#done = new Promise(resolve => {
			this.#settle = resolve;
		});
	}

	/** Starts sending to the caller; resolves at the end of the response. Left: the response was truncated. */
	async start(response: ServerResponse): Promise<Either<AttemptFailure, void>> {
		const {head, bufferedPieces, controller} = this.#options;
		this.#response = response;
		if (this.#failure) {
			this.fail(this.#failure);
			return this.#done;
		}

		response.writeHead(head.status, head.headers);
		response.on('drain', () => {
			controller.resume();
		});
		const isFull = bufferedPieces.map(piece => response.write(piece)).includes(false);
		if (!isFull) {
			controller.resume();
		}

		return this.#done;
	}

	/** Sends a piece; pauses reading from the backend server while the caller's socket buffer is full. */
	write({piece, controller}: {readonly piece: Uint8Array; readonly controller: Dispatcher.DispatchController}): void {
		if (!this.#response!.write(piece)) {
			controller.pause();
		}
	}

	/** Ends the response after its last piece. */
	end(): void {
		this.#response!.end();
		this.#settle(Right(undefined));
	}

	/** Resets the caller's connection, so that the caller cannot take a truncated response for a complete one. */
	fail(failure: AttemptFailure): void {
		this.#failure = failure;
		if (this.#response) {
			resetCallerConnection(this.#response);
			this.#settle(Left(failure));
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
