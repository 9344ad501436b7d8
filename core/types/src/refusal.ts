/** Refusals of calls, and their representation as problem documents (RFC 9457). */
import type {Execution, RefusalReason} from './reasons.js';

/** Why a call gets no response of a backend server, and whether the request was executed. */
export interface Refusal {
	readonly reason: RefusalReason;
	readonly execution: Execution;
	/** Human-readable explanation. */
	readonly detail: string;
	/** Time after which a retry may succeed, in milliseconds from now. */
	readonly retryAfterMs?: number;
}

/** Problem document that a refused caller receives (RFC 9457). */
export interface ProblemDocument {
	readonly type: string;
	readonly title: RefusalReason;
	readonly status: number;
	readonly detail: string;
	readonly execution: Execution;
	readonly callId: string;
	readonly retryAfterMs?: number;
}

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Statuses that guarantee a caller on the users' platform that its request was not executed, and 401, since a caller whose key was rejected assumes the same. */
const notRunStatuses: ReadonlySet<number> = new Set([401, 408, 421, 429, 503]);

/** Returns the reason, replaced by `backend-failed` if its status guarantees that the request was not executed although it may have been. */
export function reasonForExecution({reason, execution}: Pick<Refusal, 'reason' | 'execution'>): RefusalReason {
	return execution !== 'not-run' && notRunStatuses.has(statusByReason[reason]) ? 'backend-failed' : reason;
}

const statusByReason: Record<RefusalReason, number> = {
	'bad-request': 400,
	'unknown-service': 404,
	'unknown-route': 404,
	'headers-too-large': 431,
	'headers-too-slow': 408,
	'body-too-large': 413,
	'body-too-slow': 408,
	'configuration-missing': 503,
	unauthorised: 401,
	'quota-exceeded': 429,
	'quota-unavailable': 503,
	'instance-leaving': 503,
	'instance-full': 503,
	'caller-share-exceeded': 429,
	'queue-full': 503,
	'queue-timeout': 503,
	'deadline-unreachable': 503,
	'capacity-short': 503,
	'organisation-share-exceeded': 503,
	'no-backend-server': 503,
	'region-headroom-exhausted': 503,
	'link-capacity-exhausted': 503,
	'shift-cap-reached': 503,
	'grant-expired': 503,
	'deadline-exceeded': 504,
	'caller-cancelled': 499,
	'connect-failed': 502,
	'backend-failed': 502,
	'backend-shed': 503,
	'backend-paused': 503,
	'backend-rate-limited': 503,
	'answer-truncated': 502,
	'answer-mismatched': 502,
	'request-quarantined': 422,
	'journal-unavailable': 503,
	'key-in-flight': 409,
	'key-conflict': 422,
	'key-outcome-unknown': 409,
	'key-expired': 409,
};

/** Options of {@link toProblemDocument}. */
export interface ToProblemDocumentOptions {
	readonly refusal: Refusal;
	readonly callId: string;
}

/** Converts a refusal to the problem document that the caller receives. */
export function toProblemDocument({refusal, callId}: ToProblemDocumentOptions): ProblemDocument {
	return {
		type: `urn:pomelopick:problem:${refusal.reason}`,
		title: refusal.reason,
		status: statusByReason[refusal.reason],
		detail: refusal.detail,
		execution: refusal.execution,
		callId,
		...(refusal.retryAfterMs !== undefined && {retryAfterMs: refusal.retryAfterMs}),
	};
}
