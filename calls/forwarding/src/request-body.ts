/** Bodies of callers' requests: small ones are held whole, larger ones stream under a limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Refusal} from '@pomelopick/core.types';

/** Bytes of the body of a call without a key that are held. */
export const BUFFERED_BODY_BYTES = 65_536;
/** Time in which the held part must arrive, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1000;

/** Body of a request. */
export interface RequestBody {
	/** The whole body, or its first part when there is more. */
	readonly start: Uint8Array;
	/** Whether `start` is the whole, so that the call can be sent again. */
	readonly isWhole: boolean;
	/** What is sent to the backend server. */
	readonly content: Uint8Array | Readable | undefined;
	/** Why the rest of the body broke off, once it did. */
	readonly fault: () => Refusal | undefined;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
	readonly request: IncomingMessage;
	readonly mostBytes: number;
	/** Bytes that are held before the call is sent on; a larger body streams. */
	readonly heldBytes: number;
	/** Time left for the call, in milliseconds. */
	readonly timeoutMs: number;
	/** Takes bytes that the instance holds; false when it has none left. */
	readonly tryHold: (bytes: number) => boolean;
}

const emptyBody: RequestBody = {
	start: new Uint8Array(), isWhole: true, content: undefined, fault: () => undefined,
};

/** Whether a request announces a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Reads the held part of a body. Left: `body-too-large`, `body-too-slow`, `instance-full` or `caller-cancelled`, all not run. */
export async function readBody({request, mostBytes, heldBytes, timeoutMs, tryHold}: ReadBodyOptions): Promise<Either<Refusal, RequestBody>> {
	if (!hasBody(request)) {
		return Right(emptyBody);
	}

	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > mostBytes) {
		return Left(tooLarge({found: `${declared}`, mostBytes, execution: 'not-run'}));
	}

	const start = await readStart({
		request, heldBytes, timeoutMs: Math.min(BODY_TIMEOUT_MS, timeoutMs), tryHold,
	});
	return start.chain(({bytes, isWhole}) => {
		if (bytes.length > mostBytes) {
			return Left(tooLarge({found: `more than ${mostBytes}`, mostBytes, execution: 'not-run'}));
		}

		return Right(isWhole ? {...emptyBody, start: bytes, content: bytes} : toStream({request, start: bytes, mostBytes}));
	});
}

interface BodyStart {
	readonly bytes: Uint8Array;
	readonly isWhole: boolean;
}

async function readStart({request, heldBytes, timeoutMs, tryHold}: Omit<ReadBodyOptions, 'mostBytes'>): Promise<Either<Refusal, BodyStart>> {
	return new Promise(resolve => {
		const pieces: Uint8Array[] = [];
		let length = 0;
		const finish = (result: Either<Refusal, BodyStart>): void => {
			clearTimeout(timer);
			request.pause();
			request.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
			resolve(result);
		};

		const onData = (piece: Uint8Array): void => {
			if (!tryHold(piece.length)) {
				finish(Left({
					reason: 'instance-full', execution: 'not-run', detail: 'this instance holds as many bytes of bodies as it may', retryAfterMs: RETRY_AFTER_MS,
				}));
				return;
			}

			pieces.push(piece);
			length += piece.length;
			if (length > heldBytes) {
				finish(Right({bytes: Buffer.concat(pieces), isWhole: false}));
			}
		};

		const onEnd = (): void => {
			finish(Right({bytes: pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces), isWhole: true}));
		};

		const onClose = (): void => {
			finish(Left({reason: 'caller-cancelled', execution: 'not-run', detail: 'the caller left before its body was whole'}));
		};

		const timer = setTimeout(() => {
			finish(Left({reason: 'body-too-slow', execution: 'not-run', detail: `the body did not arrive within ${Math.round(timeoutMs)} ms; ${length} bytes came`}));
		}, Math.max(1, timeoutMs));
		request.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
	});
}

function toStream({request, start, mostBytes}: {readonly request: IncomingMessage; readonly start: Uint8Array; readonly mostBytes: number}): RequestBody {
	let fault: Refusal | undefined;
	const pass = async function * (): AsyncGenerator<Uint8Array> {
		let {length} = start;
		yield start;
		// The connection stays open for the refusal when the limit is passed.
		for await (const piece of request.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			length += piece.length;
			if (length > mostBytes) {
				fault = tooLarge({found: `more than ${mostBytes}`, mostBytes, execution: 'unknown'});
				throw new Error(fault.detail);
			}

			yield piece;
		}
	};

	return {
		start, isWhole: false, content: Readable.from(pass(), {objectMode: false}), fault: () => fault,
	};
}

function tooLarge({found, mostBytes, execution}: {readonly found: string; readonly mostBytes: number; readonly execution: Refusal['execution']}): Refusal {
	return {reason: 'body-too-large', execution, detail: `body: expected at most ${mostBytes} bytes, found ${found}`};
}
