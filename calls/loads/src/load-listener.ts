/** HTTP endpoint at which instances report loads to the collector of their region: `POST /server-loads`. */
import type {IncomingMessage, RequestListener} from 'node:http';
import {createMessageListener} from '@pomelopick/calls.live';
import type {CodedError} from '@pomelopick/core.types';
import {decodeLoadReport, encodeLoadAnswer} from './load-messages.js';
import type {LoadAnswer, LoadReport} from './load-messages.js';

/** Path of the reports. */
export const LOADS_PATH = '/server-loads';

/** Maximum size of a report, in bytes. */
const MAX_BYTES = 1_048_576;

/** Options of {@link createLoadListener}. */
export interface LoadListenerOptions {
	/** Records a report; returns what its sender is answered. */
	readonly receive: (report: LoadReport) => LoadAnswer;
	/** Called for each malformed report. */
	readonly onMalformed: (error: CodedError) => void;
}

/** Creates the listener; it responds 400 to a malformed report, and names what is wrong with it. */
export function createLoadListener({receive, onMalformed}: LoadListenerOptions): RequestListener {
	return createMessageListener({
		maxBytes: MAX_BYTES,
		describeRefusal,
		decode: decodeLoadReport,
		respond({message, response}) {
			response.writeHead(200, {'content-type': 'application/json'}).end(encodeLoadAnswer(receive(message)));
		},
		brokenCode: 'load-report-broken',
		onMalformed,
	});
}

function describeRefusal({method, headers: {'content-length': length}}: IncomingMessage): string {
	return method === 'POST'
		? `content-length: expected at most ${MAX_BYTES} bytes, found ${length ?? 'none'}`
		: `method: expected POST, found ${method}`;
}
