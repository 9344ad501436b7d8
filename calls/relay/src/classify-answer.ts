/** Classifies the responses of backend servers: whether they may be delivered to the caller, and whether the request may have run. */
import type {RelayHeaders} from './relay-format.js';

const MIN_SUCCESS = 200;
const MAX_SUCCESS = 299;
const MIN_SERVER_FAILURE = 500;
const MISDIRECTED_REQUEST = 421;
/** Statuses with which a backend server may report that it did not run a request; a header must confirm it. */
const notRunStatuses: ReadonlySet<number> = new Set([400, 429, 503]);
/** Statuses from which a caller concludes that the request was not run. */
const statusesImplyingNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Class of a response.
 *
 * - `deliver`: the response is delivered to the caller.
 * - `server-failure`: the response may be delivered, but another server may succeed.
 * - `not-run`: the server refused to run the request.
 * - `other-server`: a server other than the expected one listens at the address; it did not run the request.
 * - `unusable`: the request may have run, and the response must not be delivered.
 */
export type AnswerClass = 'deliver' | 'server-failure' | 'not-run' | 'other-server' | 'unusable';

/** Options of {@link classifyAnswer}. */
export interface ClassifyAnswerOptions {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly names: Pick<RelayHeaders, 'answerStamp' | 'notRun'>;
}

/** Classifies a response whose request id is that of its request. */
export function classifyAnswer({status, headers, names}: ClassifyAnswerOptions): AnswerClass {
	if (status === MISDIRECTED_REQUEST) {
		return 'other-server';
	}

	if (headers[names.notRun] !== undefined && notRunStatuses.has(status)) {
		return 'not-run';
	}

	if (headers[names.answerStamp] === undefined || statusesImplyingNotRun.has(status)) {
		// A response without a stamp does not come from the backend server itself, and the caller would conclude from such a
		// status that the request was not run.
		return 'unusable';
	}

	if (status >= MIN_SUCCESS && status <= MAX_SUCCESS) {
		return 'deliver';
	}

	return status >= MIN_SERVER_FAILURE ? 'server-failure' : 'deliver';
}
