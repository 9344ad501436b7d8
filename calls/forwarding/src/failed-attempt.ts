/** Maps a failed attempt to a refusal and decides whether it may be retried. */
import type {
	BackendServerName, Refusal, RefusalReason, RetryReason,
} from '@pomelopick/core.types';
import {DRAINING_HEADER} from './call-headers.js';
import type {ResponseHead, AttemptFailure, AttemptFailureKind} from './attempt-response.js';

const SHED_RETRY_AFTER_MS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** An attempt without a response that can be sent to the caller. */
export interface FailedAttempt {
	readonly refusal: Refusal;
	/** Whether the attempt got a slot of a backend server. */
	readonly isPlaced: boolean;
	/** Reason for a retry; undefined: the attempt must not be retried. */
	readonly retryReason: RetryReason | undefined;
	/** Whether a retry adds load to backend servers and therefore takes a token of the retry budget. */
	readonly usesRetryBudget: boolean;
}

/** How a kind of failure is reported to the caller and retried. */
interface FailureRule {
	readonly reason: RefusalReason;
	readonly retryReason: RetryReason | undefined;
	readonly usesRetryBudget: boolean;
}

const failureRules: Record<AttemptFailureKind, FailureRule> = {
	// A refused connection costs a backend server nothing, so retrying at another one takes no token.
	'connect-failed': {reason: 'connect-failed', retryReason: 'connect-failed', usesRetryBudget: false},
	failed: {reason: 'backend-failed', retryReason: 'backend-failed', usesRetryBudget: true},
	'silent-connection': {reason: 'backend-failed', retryReason: 'silent-connection', usesRetryBudget: true},
	truncated: {reason: 'answer-truncated', retryReason: 'backend-failed', usesRetryBudget: true},
	mismatched: {reason: 'answer-mismatched', retryReason: 'backend-failed', usesRetryBudget: true},
	'timed-out': {reason: 'deadline-exceeded', retryReason: undefined, usesRetryBudget: false},
	cancelled: {reason: 'caller-cancelled', retryReason: undefined, usesRetryBudget: false},
};

/** Maps an attempt that failed. */
export function toFailedAttempt({server, failure}: {readonly server: BackendServerName; readonly failure: AttemptFailure}): FailedAttempt {
	const {reason, retryReason, usesRetryBudget} = failureRules[failure.kind];
	const hasRetryAfter = failure.kind === 'connect-failed';
	return {
		refusal: {
			reason, execution: failure.execution, detail: `${server}: ${failure.detail}`, ...(hasRetryAfter && {retryAfterMs: SHED_RETRY_AFTER_MS}),
		},
		isPlaced: true,
		retryReason,
		usesRetryBudget,
	};
}

/** Maps an attempt that the backend server rejected with status 503 (load shedding), by which it states that it ran nothing. */
export function toShedAttempt({server, head}: {readonly server: BackendServerName; readonly head: ResponseHead}): FailedAttempt {
	const seconds = Number(head.headers['retry-after'] ?? Number.NaN);
	return {
		refusal: {
			reason: 'backend-shed', execution: 'not-run', detail: `${server}: responded with status 503`, retryAfterMs: seconds > 0 ? seconds * MILLISECONDS_PER_SECOND : SHED_RETRY_AFTER_MS,
		},
		isPlaced: true,
		retryReason: head.headers[DRAINING_HEADER] === 'true' ? 'backend-leaving' : 'backend-shed',
		usesRetryBudget: true,
	};
}
