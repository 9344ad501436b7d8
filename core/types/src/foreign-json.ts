/** Parses JSON that was written outside this process. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Maximum size of one value, in bytes: above what the store accepts and what instances send to each other. */
const MAX_BYTES = 33_554_432;
const MAX_MESSAGE_CHARACTERS = 200;

/** Why bytes or text are not a JSON value. */
export interface ForeignJsonError {
	readonly code: 'malformed-value' | 'too-large';
	readonly message: string;
}

/** Parses text as JSON. Never throws. The parser needs no stack for nested values; whoever reads the value must not descend further than the fields that it knows. */
export function parseForeignJson(text: string): Either<ForeignJsonError, unknown> {
	if (text.length > MAX_BYTES) {
		return Left(tooLarge({size: text.length, maxBytes: MAX_BYTES}));
	}

	try {
		return Right(JSON.parse(text) as unknown);
	} catch (error) {
		return Left(malformedJson(error));
	}
}

/** Parses bytes of UTF-8 as JSON. Never throws. */
export function decodeForeignJson({bytes, maxBytes = MAX_BYTES}: {readonly bytes: Uint8Array; readonly maxBytes?: number}): Either<ForeignJsonError, unknown> {
	if (bytes.length > maxBytes) {
		return Left(tooLarge({size: bytes.length, maxBytes}));
	}

	try {
		return parseForeignJson(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch (error) {
		return Left(malformedJson(error));
	}
}

function malformedJson(error: unknown): ForeignJsonError {
	return {code: 'malformed-value', message: (error as Error).message.slice(0, MAX_MESSAGE_CHARACTERS)};
}

function tooLarge({size, maxBytes}: {readonly size: number; readonly maxBytes: number}): ForeignJsonError {
	return {code: 'too-large', message: `expected at most ${maxBytes} bytes, found ${size}`};
}
