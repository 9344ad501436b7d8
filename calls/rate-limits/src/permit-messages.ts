/** Messages between an instance that wants to send a request to a limited server and the owner of that server. */
import {Left} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
	describeValue, isNumberWithin, parseForeignJson, toFields,
} from '@pomelopick/core.types';
import type {CodedError} from '@pomelopick/core.types';
import type {RateLimitRecord} from '@pomelopick/steering.servers';
import {readRateLimit} from './rate-limit-records.js';

/** Maximum time after which to ask again that is accepted, in milliseconds: the longest that a timer of Node.js can wait. */
const MAX_RETRY_AFTER_MS = 2_147_483_647;

const isRetryAfter = isNumberWithin({min: 0, max: MAX_RETRY_AFTER_MS});

/** Asks for a permit to send one request. */
export interface PermitRequest {
	/** What the asking instance knows of the limit. */
	readonly record: RateLimitRecord;
}

/** Answer of the owner. */
export interface PermitAnswer {
	readonly isGranted: boolean;
	/** Time after which to ask again if no permit was granted, in milliseconds. */
	readonly retryAfterMs: number;
	/** What the owner knows of the limit. */
	readonly record: RateLimitRecord;
}

/** Reads a request from parsed JSON; Left describes what is wrong with it. Never throws. */
export function readPermitRequest(value: unknown): Either<CodedError, PermitRequest> {
	return readRateLimit(toFields<PermitRequest>(value).record).map(record => ({record}));
}

/** Decodes an answer; Left describes what is wrong with it. Never throws. */
export function decodePermitAnswer(text: string): Either<CodedError, PermitAnswer> {
	return parseForeignJson(text).chain<CodedError, PermitAnswer>(value => {
		const {isGranted, retryAfterMs, record} = toFields<PermitAnswer>(value);
		return typeof isGranted === 'boolean' && isRetryAfter(retryAfterMs)
			? readRateLimit(record).map(read => ({isGranted, retryAfterMs, record: read}))
			: Left({code: 'malformed-permit', message: `isGranted, retryAfterMs: missing or of the wrong type: ${describeValue(value)}`});
	});
}

/** Encodes an answer. */
export function encodePermitAnswer(answer: PermitAnswer): string {
	return JSON.stringify(answer);
}

/** Decodes a request; Left describes what is wrong with it. Never throws. */
export function decodePermitRequest(text: string): Either<CodedError, PermitRequest> {
	return parseForeignJson(text).chain<CodedError, PermitRequest>(value => readPermitRequest(value));
}
