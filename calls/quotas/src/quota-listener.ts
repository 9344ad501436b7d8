/** HTTP endpoint at which other instances ask the owner of a shard for permits: `POST /quota-permits`. */
import type {RequestListener} from 'node:http';
import {createMessageListener, respondWith} from '@pomelopick/calls.live';
import type {CodedError} from '@pomelopick/core.types';
import {decodeQuotaRequest} from './quota-messages.js';
import type {QuotaAnswer, QuotaRequest} from './quota-messages.js';

/** Path of the requests. */
export const QUOTA_PATH = '/quota-permits';

/** Status with which an instance responds that does not own the shard, or may not use it now. */
export const NOT_OWNER = 409;
/** Maximum size of a request, in bytes: as many asks with the longest names as a message may have. */
const MAX_BYTES = 1_048_576;

/** Options of {@link createQuotaListener}. */
export interface QuotaListenerOptions {
	/** Returns the grants; undefined when this instance does not own the shard. */
	readonly answer: (request: QuotaRequest) => QuotaAnswer | undefined;
	/** Called for each malformed request. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed request, and names what is wrong with it. */
export function createQuotaListener({answer, onMalformed}: QuotaListenerOptions): RequestListener {
	return createMessageListener({
		maxBytes: MAX_BYTES,
		decode: decodeQuotaRequest,
		respond({message, response}) {
			respondWith({response, answer: answer(message), otherwise: NOT_OWNER});
		},
		brokenCode: 'quota-request-broken',
		onMalformed,
	});
}
