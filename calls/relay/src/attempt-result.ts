/** Results of attempts, and what follows from how they ended. */
import type {AttemptFailure, AttemptResponse} from '@pomelopick/calls.forwarding';
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {
	BackendServerName, RefusalReason, RetryReason, ServerLoad,
} from '@pomelopick/core.types';
import type {AnswerClass} from './classify-answer.js';
import type {AttemptTiming} from './relayed-request.js';

/** Result of an attempt without a usable response. */
export interface AttemptFailureResult {
	readonly kind: 'failure';
	readonly reason: RefusalReason;
	readonly retryReason: RetryReason;
	/** Whether the server may have run the request. */
	readonly mayHaveRun: boolean;
	/** Whether a byte of the request may have reached the server. */
	readonly wasSent: boolean;
	/** Resolves when it is known whether the server crashed, and a crash was reported; undefined if the server did not drop the request. */
	readonly crashCheck?: Promise<boolean>;
	readonly detail: string;
	/** Whether no further attempt is made although the request was not run. */
	readonly isFinal?: boolean;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Whether nothing was sent, so that another server is chosen without counting a try, also if the body is not complete. */
	readonly choosesAgain?: boolean;
}

/** Result of an attempt. */
export type AttemptResult =
	| {readonly kind: 'answer'; readonly answer: AttemptResponse; readonly answerClass: 'deliver' | 'server-failure'}
	| AttemptFailureResult;

/** An attempt at a backend server or by way of another instance. */
export interface RunnableAttempt {
	readonly mayHaveRun: boolean;
	/** What the log line of the request says of the attempt; undefined: nothing more. */
	readonly timing?: AttemptTiming;
	run(): Promise<AttemptResult>;
	abort(failure: Pick<AttemptFailure, 'kind' | 'detail'>): void;
}

/** Time after which the caller of a request that was rejected despite free slots should retry, in milliseconds. */
const ROOM_RETRY_AFTER_MS = 30;

/** How the server's slot counts as having ended, by the class of a response. */
export const slotEnds: Record<AnswerClass, SlotEnd> = {
	deliver: 'answered',
	'server-failure': 'failed',
	'not-run': 'shed',
	'other-server': 'leaving',
	unusable: 'failed',
};

/** How the server's slot counts as having ended, by the kind of a failure. */
export const failureEnds: Record<AttemptFailure['kind'], SlotEnd> = {
	'connect-failed': 'connect-failed',
	failed: 'failed',
	'timed-out': 'timed-out',
	cancelled: 'cancelled',
	'silent-connection': 'cancelled',
	truncated: 'failed',
	mismatched: 'failed',
};

/** Reasons of refusals, by the kind of a failure. */
const failureReasons: Record<AttemptFailure['kind'], RefusalReason> = {
	'connect-failed': 'connect-failed',
	failed: 'backend-failed',
	'timed-out': 'deadline-exceeded',
	cancelled: 'caller-cancelled',
	'silent-connection': 'backend-failed',
	truncated: 'answer-truncated',
	mismatched: 'answer-mismatched',
};

/** Returns the result of an attempt without a response. `recallReason` says why it was recalled before anything was sent, if it was. */
export function failureOfAttempt({failure: {kind, execution, detail}, recallReason, server}: {
	readonly failure: AttemptFailure;
	readonly recallReason: RetryReason | undefined;
	readonly server: BackendServerName;
}): AttemptFailureResult {
	const wasSent = execution !== 'not-run';
	return {
		kind: 'failure',
		reason: recallReason ? 'backend-shed' : failureReasons[kind],
		retryReason: recallReason ?? (wasSent ? 'backend-failed' : 'connect-failed'),
		mayHaveRun: wasSent,
		wasSent,
		detail: `${server}: ${detail}`,
	};
}

/** Returns the result of an attempt whose response is not returned to the caller. */
export function failureOfAnswerClass({answerClass, status, server, load}: {
	readonly answerClass: Exclude<AnswerClass, 'deliver' | 'server-failure'>;
	readonly status: number;
	readonly server: BackendServerName;
	/** Load that the server reported in the response; undefined: none. */
	readonly load: ServerLoad | undefined;
}): AttemptFailureResult {
	if (answerClass === 'unusable') {
		return {
			kind: 'failure',
			reason: 'answer-mismatched',
			retryReason: 'backend-failed',
			mayHaveRun: true,
			wasSent: true,
			detail: `${server} answered ${status} without its stamp, or with a status that implies that the request was not run`,
		};
	}

	return {
		kind: 'failure',
		reason: 'backend-shed',
		retryReason: answerClass === 'not-run' ? 'backend-shed' : 'placement-stale',
		mayHaveRun: false,
		wasSent: true,
		detail: `${server} answered ${status} and did not run the request`,
		...(rejectsDespiteRoom(load) && {retryAfterMs: ROOM_RETRY_AFTER_MS}),
	};
}

/** Whether the server may have crashed with the request in flight. */
export function wasDropped({kind, execution}: AttemptFailure): boolean {
	return (kind === 'failed' || kind === 'truncated') && execution !== 'not-run';
}

/**
 * Whether a server that rejected a request says that it has free slots. It rejects some requests whatever its load, so the
 * caller need not wait for room. Only the reports of servers that also state their work factor are taken so.
 */
function rejectsDespiteRoom(load: ServerLoad | undefined): boolean {
	return load?.workFactor !== undefined && load.running < load.slots;
}
