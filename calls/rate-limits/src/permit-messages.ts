/** Messages between an instance that wants to send a request to a limited server and the owner of that server. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {formatValue} from '@pomelopick/calls.live';
import type {CodedError} from '@pomelopick/core.types';
import type {RateLimitRecord} from '@pomelopick/steering.servers';
import {readRateLimit} from './rate-limit-records.js';

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

/** Validates a request of parsed JSON; Left describes what is wrong with it. */
export function readPermitRequest(value: unknown): Either<CodedError, PermitRequest> {
	return readRateLimit((value as Partial<PermitRequest> | undefined)?.record).map(record => ({record}));
}

/** Decodes an answer; Left describes what is wrong with it. */
export function decodePermitAnswer(text: string): Either<CodedError, PermitAnswer> {
	try {
		const value = JSON.parse(text) as Partial<PermitAnswer> | undefined;
		const {isGranted, retryAfterMs, record} = value ?? {};
		return typeof isGranted === 'boolean' && typeof retryAfterMs === 'number' && retryAfterMs >= 0
			? readRateLimit(record).map(read => ({isGranted, retryAfterMs, record: read}))
			: Left({code: 'malformed-permit', message: `isGranted, retryAfterMs: missing or of the wrong type: ${formatValue(value)}`});
	} catch (error) {
		return Left({code: 'malformed-permit', message: (error as Error).message});
	}
}

/** Encodes an answer. */
export function encodePermitAnswer(answer: PermitAnswer): string {
	return JSON.stringify(answer);
}

/** Parses the text of a request; Left describes what is wrong with it. */
export function decodePermitRequest(text: string): Either<CodedError, PermitRequest> {
	try {
		return Right<unknown, CodedError>(JSON.parse(text)).chain(value => readPermitRequest(value));
	} catch (error) {
		return Left({code: 'malformed-permit', message: (error as Error).message});
	}
}
