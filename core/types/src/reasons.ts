/** Closed sets of reason codes. Each is a counter, a log field and a row of the operators' page. */

/** Why a call was refused or ended without a backend server's answer. */
export const refusalReasons = [
	'bad-request',
	'unknown-service',
	'unknown-route',
	'headers-too-large',
	'headers-too-slow',
	'body-too-large',
	'body-too-slow',
	'configuration-missing',
	'instance-leaving',
	'instance-full',
	'caller-share-exceeded',
	'queue-full',
	'queue-timeout',
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
	'answer-truncated',
	'answer-mismatched',
	'request-quarantined',
	'journal-unavailable',
	'key-in-flight',
	'key-conflict',
	'key-outcome-unknown',
	'key-expired',
] as const;

/** Why a call was refused or ended without a backend server's answer. */
export type RefusalReason = typeof refusalReasons[number];

/** Why an attempt was made again. */
export const retryReasons = [
	'connect-failed',
	'backend-shed',
	'backend-failed',
	'backend-leaving',
	'silent-connection',
	'placement-stale',
] as const;

/** Why an attempt was made again. */
export type RetryReason = typeof retryReasons[number];

/** Why a second attempt was started beside a running one. */
export const hedgeReasons = ['slow-answer', 'silent-connection'] as const;

/** Why a second attempt was started beside a running one. */
export type HedgeReason = typeof hedgeReasons[number];

/** Whether the caller's work was run by a backend server. */
export type Execution = 'not-run' | 'ran' | 'unknown';
