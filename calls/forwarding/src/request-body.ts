/** Bodies of callers' requests: small ones are buffered completely, larger ones are streamed up to a maximum size. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Refusal} from '@pomelopick/core.types';

/** Bytes of the body of a call without an idempotency key that are buffered. */
export const BUFFERED_BODY_BYTES = 65_536;
/** Time in which the buffered part must arrive, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1000;
/** Bytes that a body holds while it is streamed, besides its first part: a piece that is being received and one that is being sent. */
const STREAMED_BODY_BYTES = 131_072;

/** Body of a request. */
export interface RequestBody {
	/** The complete body, or its first part when the rest is streamed. */
	readonly start: Uint8Array;
	/** Whether `start` is the complete body, so that the call can be retried. */
	readonly isComplete: boolean;
	/** What is sent to the backend server. */
	readonly content: Uint8Array | Readable | undefined;
	/** Refusal that applies because streaming the body failed; undefined while it has not failed. */
	readonly streamRefusal: () => Refusal | undefined;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
	readonly request: IncomingMessage;
	/** Maximum size of the body, in bytes. */
	readonly maxBytes: number;
	/** Maximum bytes that are buffered; the rest of a larger body is streamed. */
	readonly maxBufferedBytes: number;
	/** Time left for the call, in milliseconds. */
	readonly timeoutMs: number;
	/** Reserves bytes of the instance's buffer budget; false when too few are left. */
	readonly tryReserve: (bytes: number) => boolean;
}

/** Refusal of a body for which too few bytes are left. */
const NO_ROOM: Refusal = {
	reason: 'instance-full', execution: 'not-run', detail: 'this instance holds the maximum number of bytes of bodies', retryAfterMs: RETRY_AFTER_MS,
};

const emptyBody: RequestBody = {
	start: new Uint8Array(), isComplete: true, content: undefined, streamRefusal: () => undefined,
};

/** Whether the headers of a request declare a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Reads the buffered part of a body. Left: `body-too-large`, `body-too-slow`, `instance-full` or `caller-cancelled`, each with `not-run`. */
export async function readBody({request, maxBytes, maxBufferedBytes, timeoutMs, tryReserve}: ReadBodyOptions): Promise<Either<Refusal, RequestBody>> {
	if (!hasBody(request)) {
		return Right(emptyBody);
	}

	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > maxBytes) {
		return Left(tooLarge({found: `${declared}`, maxBytes, execution: 'not-run'}));
	}

	const start = await readBufferedPart({
		request, maxBufferedBytes, timeoutMs: Math.min(BODY_TIMEOUT_MS, timeoutMs), tryReserve,
	});
	return start.chain(({bytes, isWhole}) => {
		if (bytes.length > maxBytes) {
			return Left(tooLarge({found: `more than ${maxBytes}`, maxBytes, execution: 'not-run'}));
		}

		if (!isWhole && !tryReserve(STREAMED_BODY_BYTES)) {
			return Left(NO_ROOM);
		}

		return Right(isWhole ? {...emptyBody, start: bytes, content: bytes} : streamBody({request, start: bytes, maxBytes}));
	});
}

interface BufferedPart {
	readonly bytes: Uint8Array;
	readonly isWhole: boolean;
}

async function readBufferedPart({request, maxBufferedBytes, timeoutMs, tryReserve}: Omit<ReadBodyOptions, 'maxBytes'>): Promise<Either<Refusal, BufferedPart>> {
	return new Promise(resolve => {
		const pieces: Uint8Array[] = [];
		let length = 0;
		const finish = (result: Either<Refusal, BufferedPart>): void => {
			clearTimeout(timer);
			request.pause();
			request.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
			resolve(result);
		};

		const onData = (piece: Uint8Array): void => {
			if (!tryReserve(piece.length)) {
				finish(Left(NO_ROOM));
				return;
			}

			pieces.push(piece);
			length += piece.length;
			if (length > maxBufferedBytes) {
				finish(Right({bytes: Buffer.concat(pieces), isWhole: false}));
			}
		};

		const onEnd = (): void => {
			finish(Right({bytes: pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces), isWhole: true}));
		};

		const onClose = (): void => {
			finish(Left({reason: 'caller-cancelled', execution: 'not-run', detail: 'the caller disconnected before its body was complete'}));
		};

		const timer = setTimeout(() => {
			finish(Left({reason: 'body-too-slow', execution: 'not-run', detail: `the body did not arrive within ${Math.round(timeoutMs)} ms; ${length} bytes were received`}));
		}, Math.max(1, timeoutMs));
		request.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
	});
}

function streamBody({request, start, maxBytes}: {readonly request: IncomingMessage; readonly start: Uint8Array; readonly maxBytes: number}): RequestBody {
	let fault: Refusal | undefined;
	const pass = async function * (): AsyncGenerator<Uint8Array> {
		let {length} = start;
		try {
			yield start;
			// The connection stays open, so that a refusal can be sent when the body exceeds its maximum size.
			for await (const piece of request.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
				length += piece.length;
				if (length > maxBytes) {
					fault = tooLarge({found: `more than ${maxBytes}`, maxBytes, execution: 'unknown'});
					throw new Error(fault.detail);
				}

				yield piece;
			}
		} finally {
			if (!fault && !request.readableEnded && !request.destroyed) {
				discardRest({request, maxBytes: maxBytes - length});
			}
		}
	};

	return {
		start, isComplete: false, content: Readable.from(pass(), {objectMode: false}), streamRefusal: () => fault,
	};
}

/** Discards the rest of a body that nobody reads any more, so that the connection can carry further requests; closes the connection when it exceeds the maximum size. */
function discardRest({request, maxBytes}: {readonly request: IncomingMessage; readonly maxBytes: number}): void {
	let length = 0;
	request.on('data', (piece: Uint8Array) => {
		length += piece.length;
		if (length > maxBytes) {
			request.destroy();
		}
	});
	request.resume();
}

function tooLarge({found, maxBytes, execution}: {readonly found: string; readonly maxBytes: number; readonly execution: Refusal['execution']}): Refusal {
	return {reason: 'body-too-large', execution, detail: `body: expected at most ${maxBytes} bytes, found ${found}`};
}
