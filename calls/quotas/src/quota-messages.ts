/** Messages between an instance that needs permits and the owner of a shard. */
import {Either} from 'purify-ts';
import {
	isName, isWithin, parseForeignJson, readFields,
} from '@pomelopick/core.types';
import type {CodedError, OrganisationName} from '@pomelopick/core.types';
import {MAX_PERMITS, SHARDS} from '@pomelopick/steering.quotas';

/** Maximum number of organisations in one message. */
export const MAX_ASKS = 64;
/** Maximum time after which to ask again that is accepted, in milliseconds. */
const MAX_RETRY_AFTER_MS = 600_000;

/** Permits that are needed for one organisation. */
export interface QuotaAsk {
	readonly organisation: OrganisationName;
	/** Number of permits, from 1 to {@link MAX_PERMITS}. */
	readonly permits: number;
}

/** Asks the owner of a shard for permits. */
export interface QuotaRequest {
	/** Name of the asking instance. */
	readonly instance: string;
	readonly shard: number;
	readonly asks: readonly QuotaAsk[];
}

/** Permits that the owner grants for one organisation. */
export interface QuotaGrant {
	readonly organisation: OrganisationName;
	readonly permits: number;
	/** Time after which to ask again, in milliseconds; 0 when all permits were granted that were asked for. */
	readonly retryAfterMs: number;
}

/** Answer of the owner. */
export interface QuotaAnswer {
	readonly grants: readonly QuotaGrant[];
}

const CODE = 'malformed-quota-message';

const requestChecks = {instance: isName, shard: isWithin({min: 0, max: SHARDS - 1}), asks: isAskList};
const askChecks = {organisation: isName, permits: isWithin({min: 1, max: MAX_PERMITS})};
const isRetryAfter = isWithin({min: 0, max: MAX_RETRY_AFTER_MS});

/** Decodes a request; Left names the field that is wrong. Never throws. */
export function decodeQuotaRequest(text: string): Either<CodedError, QuotaRequest> {
	return parseForeignJson(text)
		.chain<CodedError, QuotaRequest>(value => readFields<QuotaRequest>({value, checks: requestChecks, code: CODE}))
		.chain(request => Either.sequence(request.asks.map(ask => readAsk(ask))).map(asks => ({...request, asks})));
}

/** Decodes the answer to a request; Left names the field that is wrong. Never throws. */
export function decodeQuotaAnswer({text, request: {asks}}: {readonly text: string; readonly request: QuotaRequest}): Either<CodedError, QuotaAnswer> {
	const checks = {grants: (value: unknown) => Array.isArray(value) && value.length === asks.length};
	return parseForeignJson(text)
		.chain<CodedError, QuotaAnswer>(value => readFields<QuotaAnswer>({value, checks, code: CODE}))
		.chain(answer => Either.sequence(answer.grants.map((grant, position) => readGrant({value: grant, ask: asks[position]!}))))
		.map(grants => ({grants}));
}

function isAskList(value: unknown): boolean {
	return Array.isArray(value) && value.length > 0 && value.length <= MAX_ASKS;
}

function readAsk(value: unknown): Either<CodedError, QuotaAsk> {
	return readFields<QuotaAsk>({
		value, checks: askChecks, code: CODE, path: 'asks.',
	});
}

function readGrant({value, ask}: {readonly value: unknown; readonly ask: QuotaAsk}): Either<CodedError, QuotaGrant> {
	const checks = {organisation: (name: unknown) => name === ask.organisation, permits: isWithin({min: 0, max: ask.permits}), retryAfterMs: isRetryAfter};
	return readFields<QuotaGrant>({
		value, checks, code: CODE, path: 'grants.',
	});
}
