/** What is known of a request whose exchange with a server failed. */
import type {Execution} from '@pomelopick/core.types';
import type {AttemptFailure} from './attempt-response.js';

const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
/** Codes of errors for which the other side or the network ended or refused a connection; others are errors of the protocol. */
const lostConnectionCodes: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_SOCKET', 'ECONNREFUSED', 'ERR_CONNECTION_RESET', 'ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** What is known of a request. */
export interface ExchangeState {
	/** Whether any byte of it may have been sent. */
	readonly mayHaveRun: boolean;
	/** Status of its response; undefined: no head of a response has arrived. */
	readonly status: number | undefined;
}

/** Whether the request ran, as far as is known: a status of success shows that it did. */
export function executionOf({mayHaveRun, status = 0}: ExchangeState): Execution {
	if (!mayHaveRun) {
		return 'not-run';
	}

	return status >= FIRST_SUCCESS && status <= LAST_SUCCESS ? 'ran' : 'unknown';
}

/** The failure of a request by an error of the library or the connection. */
export function toFailure({error: {code, name, message}, ...state}: ExchangeState & {readonly error: Error & {code?: string}}): AttemptFailure {
	const kind = state.status === undefined ? (state.mayHaveRun ? 'failed' : 'connect-failed') : 'truncated';
	return {
		kind, execution: executionOf(state), detail: `${code ?? name}: ${message}`, ...(lostConnectionCodes.has(code ?? '') && {isConnectionLost: true}),
	};
}
