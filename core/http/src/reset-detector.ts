/** Distinguishes a connection that was reset from one whose other side ended it in order. */
import type {Socket} from 'node:net';
import {ConnectionResetError} from './connection-reset-error.js';

/** Codes of writes that fail after a reset: if the other side had not ended its output before, and if it had (Linux). */
const RESET_CODE = 'ECONNRESET';
const RESET_AFTER_END_CODE = 'EPIPE';

/** The runtime's own part of a socket. It is internal: the tests of this package fail if a new version of the runtime changes it. */
interface RuntimeSocket {
	/** Absent once the socket is destroyed. */
	readonly _handle?: {readonly readStart: () => number} | null; // eslint-disable-line @typescript-eslint/no-restricted-types
}

type SystemError = Error & {readonly code?: string};
type WriteCallback = (error?: SystemError | null) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

/**
 * Decides how the input of a socket ended by reading once more behind its end.
 *
 * Where a connection is closed in both directions and a read has filled only a part of its buffer, the runtime reports the
 * end of the input without reading on. That is right where the other side has ended its output, and wrong where a reset
 * arrived together with the last data. Only the read that was left out tells the two apart: it returns an error after a reset.
 *
 * A write that fails does not tell them apart: it may be queued behind others, and it also fails where the other side ended
 * its output and then reset the connection because it does not read any more. So a failed write neither ends the reading
 * of what was received before, nor decides how it ends, unless it took the error of the reset from the read.
 */
export class ResetDetector {
	/** Makes a connected socket, from which nothing has been read yet, report resets as {@link ConnectionResetError}. */
	static attach(socket: Socket): void {
		const detector = new ResetDetector(socket);
		detector.#watchInput();
		detector.#watchOutput();
	}

	readonly #socket: Socket;
	readonly #destroy: Socket['destroy'];
	/** `reported`: the runtime reports an end that is uncertain; `checking`: it reads once more. */
	#input: 'open' | 'reported' | 'checking' | 'ended' = 'open';
	/** Whether data was received in this turn of the event loop, so that an end may be reported without a read. */
	#hasReadInTurn = false;
	/** Whether a write has failed because of a reset that arrived before the other side had ended its output. */
	#wasReset = false;

	private constructor(socket: Socket) {
		this.#socket = socket;
		this.#destroy = socket.destroy.bind(socket);
	}

	#watchInput(): void {
		const socket = this.#socket;
		const push = socket.push.bind(socket);
		const read: (size?: number) => unknown = socket.read.bind(socket);
		socket.push = (chunk: unknown, encoding) => {
			if (chunk === null && !this.#confirmEnd()) {
				return false;
			}

			this.#recordRead();
			return push(chunk, encoding);
		};

		socket.read = size => {
			const chunk = read(size);
			this.#checkEnd();
			return chunk;
		};

		socket.destroy = error => this.#destroy(toResetError(error));
	}

	#recordRead(): void {
		if (!this.#hasReadInTurn) {
			this.#hasReadInTurn = true;
			setImmediate(() => {
				this.#hasReadInTurn = false;
			});
		}
	}

	/** Handles an end that the runtime reports. Returns whether the other side has ended its output. */
	#confirmEnd(): boolean {
		const isCertain = this.#input === 'checking' || !this.#hasReadInTurn;
		if (isCertain && !this.#wasReset) {
			this.#input = 'ended';
			return true;
		}

		this.#input = 'reported';
		this.#checkEnd();
		return false;
	}

	/** Checks a reported end once everything that was received before it has been taken, as a reset discards the rest. */
	#checkEnd(): void {
		if (this.#input !== 'reported' || this.#socket.readableLength > 0) {
			return;
		}

		if (this.#wasReset) {
			this.#destroy(new ConnectionResetError('the connection was reset during a write'));
			return;
		}

		this.#input = 'checking';
		this.#readOnce();
	}

	#readOnce(): void {
		const status = (this.#socket as RuntimeSocket)._handle?.readStart() ?? 0;
		if (status !== 0) {
			this.#destroy(new ConnectionResetError(`the end of the connection cannot be read: status ${status}`));
		}
	}

	#watchOutput(): void {
		const socket = this.#socket;
		const write = socket._write.bind(socket);
		const writeMany = socket._writev?.bind(socket);
		socket._write = (chunk, encoding, callback) => {
			write(chunk, encoding, this.#keepInput(callback));
		};

		if (writeMany) {
			socket._writev = (chunks, callback) => {
				writeMany(chunks, this.#keepInput(callback));
			};
		}
	}

	/** Returns a callback for a write that does not pass on a reset as long as there is input to read, because the runtime would discard it. */
	#keepInput(callback: WriteCallback): WriteCallback {
		return error => {
			const isReset = error?.code === RESET_CODE;
			if (this.#input === 'ended' || !(isReset || error?.code === RESET_AFTER_END_CODE)) {
				callback(error);
				return;
			}

			this.#wasReset ||= isReset;
		};
	}
}

function toResetError(error: SystemError | undefined): Error | undefined {
	return error?.code === RESET_CODE ? new ConnectionResetError(`the connection was reset: ${error.message}`, {cause: error}) : error;
}
