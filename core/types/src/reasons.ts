/** Closed sets of reason codes. Each code is used as a counter and in log fields, and has a row in the operators' documentation of the counters. */

/** Why a call was refused or ended without a response of a backend server. */
export const refusalReasons = [
	'bad-request',
	'unknown-service',
	'unknown-route',
	'headers-too-large',
	'headers-too-slow',
	'body-too-large',
	'body-too-slow',
	'configuration-missing',
	'unauthorised',
	'quota-exceeded',
	'quota-unavailable',
	'instance-leaving',
	'instance-full',
	'caller-share-exceeded',
	'queue-full',
	'queue-timeout',
	'deadline-unreachable',
	'capacity-short',
	'organisation-share-exceeded',
	'no-backend-server',
	'region-headroom-exhausted',
	'link-capacity-exhausted',
	'shift-cap-reached',
	'grant-expired',
	'deadline-exceeded',
	'caller-cancelled',
	'connect-failed',
	'backend-failed',
	'backend-shed',
	'backend-paused',
	'backend-rate-limited',
	'answer-truncated',
	'answer-mismatched',
	'request-quarantined',
	'journal-unavailable',
	'key-in-flight',
	'key-conflict',
	'key-outcome-unknown',
	'key-expired',
] as const;

/** Why a call was refused or ended without a response of a backend server. */
export type RefusalReason = typeof refusalReasons[number];

/** Why an attempt was retried. */
export const retryReasons = [
	'connect-failed',
	'backend-shed',
	'backend-failed',
	'backend-leaving',
	'backend-rate-limited',
	'silent-connection',
	'placement-stale',
] as const;

/** Why an attempt was retried. */
export type RetryReason = typeof retryReasons[number];

/** Why a hedge was sent: a second attempt while the first one is still running. */
export const hedgeReasons = ['slow-answer', 'silent-connection'] as const;

/** Why a hedge was sent: a second attempt while the first one is still running. */
export type HedgeReason = typeof hedgeReasons[number];

/** Whether a backend server executed the caller's request. */
export type Execution = 'not-run' | 'ran' | 'unknown';
