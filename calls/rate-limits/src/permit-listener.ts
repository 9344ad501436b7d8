/** HTTP endpoint at which other instances ask the owner of a limited server for permits: `POST /rate-permits`. */
import type {RequestListener} from 'node:http';
import {readPeerBody} from '@pomelopick/calls.live';
import type {CodedError} from '@pomelopick/core.types';
import {decodePermitRequest, encodePermitAnswer} from './permit-messages.js';
import type {PermitAnswer, PermitRequest} from './permit-messages.js';

/** Path of the requests. */
export const PERMITS_PATH = '/rate-permits';

/** Maximum size of a request, in bytes. */
const MAX_BYTES = 4096;

/** Options of {@link createPermitListener}. */
export interface PermitListenerOptions {
	readonly answer: (request: PermitRequest) => PermitAnswer;
	/** Called for each malformed request. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed request. */
export function createPermitListener({answer, onMalformed}: PermitListenerOptions): RequestListener {
	return async (request, response) => {
		if (request.method !== 'POST' || !(Number(request.headers['content-length']) <= MAX_BYTES)) {
			response.writeHead(400, {connection: 'close'}).end();
			return;
		}

		try {
			decodePermitRequest(await readPeerBody(request)).ifLeft(error => {
				onMalformed(error);
				response.writeHead(400).end(error.message);
			}).ifRight(asked => {
				response.writeHead(200, {'content-type': 'application/json'}).end(encodePermitAnswer(answer(asked)));
			});
		} catch (error) {
			onMalformed({code: 'permit-request-broken', message: (error as Error).message});
		}
	};
}
