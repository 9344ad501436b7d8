/** Encodes and decodes the records about rate limits that instances share. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {RecordReader, ViewChange} from '@pomelopick/calls.live';
import {decodeForeignJson, describeValue, toFields} from '@pomelopick/core.types';
import type {BackendServerName, CodedError} from '@pomelopick/core.types';
import type {RateLimitRecord} from '@pomelopick/steering.servers';

/** Prefix of the keys under which the records are stored. */
export const RATE_LIMIT_PREFIX = 'pomelopick/rate-limits/';

/** Highest version that is accepted; versions follow the wall clock in milliseconds, and newer ones must remain whole numbers that can be compared. */
const MAX_VERSION = 253_402_300_799_999;
/** Maximum size of a record, in bytes. */
const MAX_RECORD_BYTES = 4096;

/** Key of the record about a server. */
export function rateLimitKey(server: BackendServerName): string {
	return `${RATE_LIMIT_PREFIX}${server}`;
}

/** Encodes a record. */
export function encodeRateLimit(record: RateLimitRecord): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(record));
}

/** Validates a record of parsed JSON; Left describes what is wrong with it. */
export function readRateLimit(value: unknown): Either<CodedError, RateLimitRecord> {
	const {name, startedAtMs, requestsPerSecond, version} = toFields<RateLimitRecord>(value);
	const hasStart = startedAtMs === undefined || Number.isInteger(startedAtMs);
	const hasRate = requestsPerSecond === undefined || (Number.isFinite(requestsPerSecond) && requestsPerSecond >= 0);
	return typeof name === 'string' && hasStart && hasRate && Number.isSafeInteger(version) && version! <= MAX_VERSION
		? Right({
			name, startedAtMs, requestsPerSecond, version: version!,
		})
		: Left({code: 'malformed-rate-limit', message: `a field is missing or has the wrong type: ${describeValue(value)}`});
}

/** Options of {@link rateLimitReader}. */
export interface RateLimitReaderOptions {
	readonly onRecord: (record: RateLimitRecord) => void;
	/** Called for each malformed record. */
	readonly onMalformed: (change: ViewChange) => void;
}

/** Creates a reader of the records in the store. */
export function rateLimitReader({onRecord, onMalformed}: RateLimitReaderOptions): RecordReader {
	return {
		prefix: RATE_LIMIT_PREFIX,
		write({key, value, modifyIndex}) {
			decodeRateLimit(value).ifLeft(({code, message}) => {
				onMalformed({
					event: 'rate-limit-refused', subject: key, detail: message, reason: code, storeIndex: modifyIndex,
				});
			}).ifRight(record => {
				onRecord(record);
			});
		},
	};
}

function decodeRateLimit(bytes: Uint8Array): Either<CodedError, RateLimitRecord> {
	return decodeForeignJson({bytes, maxBytes: MAX_RECORD_BYTES}).chain<CodedError, RateLimitRecord>(value => readRateLimit(value));
}
