/** Messages between an instance that sends an upload and the owner of its server's shard. */
import {Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {
	isCount, isName, isWithin, parseForeignJson, readFields, toFields,
} from '@pomelopick/core.types';
import type {BackendServerName, CodedError} from '@pomelopick/core.types';
import {UPLOAD_GRANTED} from '@pomelopick/steering.quotas';
import type {UploadId, UploadOutcome} from '@pomelopick/steering.quotas';

/** Maximum time that a message may state, in milliseconds. */
const MAX_TIME_MS = 86_400_000;

/** Ends the reservation of an upload. */
export interface UploadRelease extends UploadId {
	readonly server: BackendServerName;
}

/** Asks the owner of a server's shard to reserve the bytes of an upload. */
export interface UploadRequest extends UploadRelease {
	readonly bytes: number;
	/** Time until the deadline of the upload, in milliseconds. */
	readonly validMs: number;
}

const CODE = 'malformed-upload-message';

const releaseChecks = {
	server: isName, instance: isName, process: isCount, upload: isCount,
};
const requestChecks = {
	...releaseChecks, bytes: isWithin({min: 1, max: Number.MAX_SAFE_INTEGER}), validMs: isWithin({min: 1, max: MAX_TIME_MS}),
};
const refusalChecks = {granted: isBoolean, retryAfterMs: isWithin({min: 0, max: MAX_TIME_MS})};

/** Decodes a request; Left names the field that is wrong. Never throws. */
export function decodeUploadRequest(text: string): Either<CodedError, UploadRequest> {
	return parseForeignJson(text).chain<CodedError, UploadRequest>(value => readFields<UploadRequest>({value, checks: requestChecks, code: CODE}));
}

/** Decodes a release; Left names the field that is wrong. Never throws. */
export function decodeUploadRelease(text: string): Either<CodedError, UploadRelease> {
	return parseForeignJson(text).chain<CodedError, UploadRelease>(value => readFields<UploadRelease>({value, checks: releaseChecks, code: CODE}));
}

/** Decodes the answer to a request; Left names the field that is wrong. Never throws. */
export function decodeUploadOutcome(text: string): Either<CodedError, UploadOutcome> {
	return parseForeignJson(text).chain<CodedError, UploadOutcome>(value => isGranted(value) ? Right(UPLOAD_GRANTED) : readFields<UploadRefused>({value, checks: refusalChecks, code: CODE}));
}

type UploadRefused = Extract<UploadOutcome, {granted: false}>;

function isGranted(value: unknown): boolean {
	return toFields<UploadOutcome>(value).granted === true;
}

function isBoolean(value: unknown): boolean {
	return typeof value === 'boolean';
}
