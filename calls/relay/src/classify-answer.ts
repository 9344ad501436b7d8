/** What a backend server's answer means for its request. */
import type {RelayHeaders} from './relay-format.js';

const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
const FIRST_SERVER_FAILURE = 500;
const MISDIRECTED = 421;
/** Statuses with which a backend server may say that it did not run a request, if a header says so too. */
const statusesOfNotRun: ReadonlySet<number> = new Set([400, 429, 503]);
/** Statuses that promise a caller that nothing was run. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * `deliver`: the answer goes to the caller. `server-failure`: it may, but another server may do better. `not-run`: the
 * server refused to run the request. `other-server`: another server has the address. `unusable`: the request may have
 * run, and the answer must not reach the caller.
 */
export type AnswerVerdict = 'deliver' | 'server-failure' | 'not-run' | 'other-server' | 'unusable';

/** Options of {@link judgeAnswer}. */
export interface JudgeAnswerOptions {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly names: Pick<RelayHeaders, 'answerStamp' | 'notRun'>;
}

/** Judges a whole answer whose id is that of its request. */
export function judgeAnswer({status, headers, names}: JudgeAnswerOptions): AnswerVerdict {
	if (status === MISDIRECTED) {
		return 'other-server';
	}

	if (headers[names.notRun] !== undefined && statusesOfNotRun.has(status)) {
		return 'not-run';
	}

	if (headers[names.answerStamp] === undefined || promisingStatuses.has(status)) {
		// Without its stamp an answer is not the server's own; the caller would take such a status for a promise.
		return 'unusable';
	}

	if (status >= FIRST_SUCCESS && status <= LAST_SUCCESS) {
		return 'deliver';
	}

	return status >= FIRST_SERVER_FAILURE ? 'server-failure' : 'deliver';
}
