/** Encodes and decodes what instances tell each other about the warm-up of backend servers. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describeValue, isNumberWithin, toFields} from '@pomelopick/core.types';
import type {CodedError} from '@pomelopick/core.types';
import type {ServerStart} from '@pomelopick/steering.servers';

/** Maximum time that is accepted, in milliseconds: the longest that a response to a health check can state. */
const MAX_WARMUP_MS = 999_999_999;

const isWarmupLeft = isNumberWithin({min: 0, max: MAX_WARMUP_MS});

/** A statement of a server about its warm-up. */
export interface ServerWarmup extends ServerStart {
	/** Time for which the server still warms up, in milliseconds. */
	readonly warmupLeftMs: number;
}

/** Validates a record of parsed JSON; Left describes what is wrong with it. */
export function readServerWarmup(value: unknown): Either<CodedError, ServerWarmup> {
	const {name, startedAtMs, warmupLeftMs} = toFields<ServerWarmup>(value);
	const hasStart = startedAtMs === undefined || Number.isInteger(startedAtMs);
	return typeof name === 'string' && hasStart && isWarmupLeft(warmupLeftMs)
		? Right({name, startedAtMs, warmupLeftMs})
		: Left({code: 'malformed-server-warmup', message: `a field is missing or has the wrong type: ${describeValue(value)}`});
}
