/** Bodies of keyed calls: read whole before the call is admitted, answered whole after its outcome is handed over. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CallId, Refusal} from '@pomelopick/core.types';
import {CALL_ID_HEADER, IDEMPOTENCY_KEY_HEADER} from './call-headers.js';
import type {KeyedAnswer} from './key-guard.js';

/** Largest body of a keyed call and of its answer, in bytes. */
export const MOST_KEYED_BODY_BYTES = 8_388_608;

/** A keyed call, read whole. */
export interface KeyedCall {
	readonly key: string;
	/** Digest of the method, service, path and body. */
	readonly fingerprint: string;
	readonly body: Uint8Array;
}

/** Options of {@link readKeyedCall}. */
export interface ReadKeyedCallOptions {
	readonly request: IncomingMessage;
	readonly service: string;
	readonly path: string;
}

/** Reads a keyed call whole. Left when its body is too large or breaks off. */
export async function readKeyedCall({request, service, path}: ReadKeyedCallOptions): Promise<Either<Refusal, KeyedCall>> {
	const body = await readWhole({stream: request, mostBytes: MOST_KEYED_BODY_BYTES});
	return body.bimap<Refusal, KeyedCall>(
		fault => ({reason: fault === 'too-large' ? 'body-too-large' : 'caller-cancelled', execution: 'not-run', detail: `the body of the keyed call is ${fault}`}),
		bytes => ({
			key: String(request.headers[IDEMPOTENCY_KEY_HEADER]),
			fingerprint: createHash('sha256').update(`${request.method}\0${service}\0${path}\0`).update(bytes).digest('hex'),
			body: bytes,
		}),
	);
}

/** Reads a stream up to a bound. */
export async function readWhole({stream, mostBytes}: {readonly stream: Readable; readonly mostBytes: number}): Promise<Either<'too-large' | 'broken', Uint8Array>> {
	const pieces: Uint8Array[] = [];
	let bytes = 0;
	try {
		for await (const piece of stream as AsyncIterable<Uint8Array>) {
			bytes += piece.length;
			if (bytes > mostBytes) {
				return Left('too-large');
			}

			pieces.push(piece);
		}
	} catch {
		return Left('broken');
	}

	return Right(Buffer.concat(pieces));
}

/** Sends the outcome of an earlier copy. */
export function sendReplay({response, id, outcome}: {readonly response: ServerResponse; readonly id: CallId; readonly outcome: KeyedAnswer}): void {
	response.writeHead(outcome.status, {...outcome.headers, 'content-length': String(outcome.body.length), [CALL_ID_HEADER]: id});
	response.end(outcome.body);
}
