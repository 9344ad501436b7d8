/** Final results of requests: refusals after failed attempts, and what a request that was ended gets. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {AttemptResponse} from '@pomelopick/calls.forwarding';
import {reasonForExecution} from '@pomelopick/core.types';
import type {Refusal} from '@pomelopick/core.types';
import type {PlacementRefusal} from '@pomelopick/steering.objects';
import type {AttemptFailureResult} from './attempt-result.js';
import type {RelayedRequest} from './relayed-request.js';

/** Time after which a caller is asked to retry if servers refused its request, in milliseconds. */
const SHED_RETRY_AFTER_MS = 300;
/** Time after which a caller is asked to retry if its request was sent to no server, in milliseconds. */
const NEVER_SENT_RETRY_AFTER_MS = 200;

/** Refusal of a request that was ended before an attempt. {@link finalResult} replaces its reason unless the caller ended it. */
export const ENDED_BEFORE_ATTEMPT: Refusal = {reason: 'caller-cancelled', execution: 'not-run', detail: 'the request ended before an attempt'};

/** Options of {@link finalResult}. */
export interface FinalResultOptions {
	readonly request: RelayedRequest;
	/** Failure response of a server, which takes precedence over a refusal. */
	readonly serverFailure: AttemptResponse | undefined;
	/** Refusal that applies unless the request was ended. Its execution is replaced by that of all attempts together. */
	readonly refusal: Refusal;
}

/** Returns the final result of a request for which no further attempt is made. */
export function finalResult({request, serverFailure, refusal}: FinalResultOptions): Either<Refusal, AttemptResponse> {
	if (serverFailure && request.endedBy !== 'caller') {
		return Right(serverFailure);
	}

	const execution = request.mayHaveRun ? 'unknown' : 'not-run';
	if (request.endedBy === 'deadline') {
		return Left({reason: 'deadline-exceeded', execution, detail: refusal.detail});
	}

	const bodyFault = request.options.body.streamRefusal();
	if (bodyFault) {
		return Left({...bodyFault, execution});
	}

	const reason = request.endedBy === 'instance' ? 'instance-leaving' : refusal.reason;
	return Left({...refusal, execution, reason: reasonForExecution({reason, execution})});
}

/** Returns the refusal after the last attempt failed. */
export function refusalOfFailure({reason, detail, mayHaveRun, wasSent, retryAfterMs: statedMs}: AttemptFailureResult): Refusal {
	const retryAfterMs = mayHaveRun ? undefined : (statedMs ?? (wasSent ? SHED_RETRY_AFTER_MS : NEVER_SENT_RETRY_AFTER_MS));
	return {
		reason: !wasSent && reason === 'connect-failed' ? 'no-backend-server' : reason, execution: 'not-run', detail, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/** Returns the refusal of a request for which no server could be chosen. */
export function refusalOfPlacement({reason, detail, retryAfterMs}: PlacementRefusal): Refusal {
	return {
		reason, execution: 'not-run', detail, retryAfterMs,
	};
}

/** Returns the failure of an attempt that a server answered with a failure of its own. */
export function failureOfAnswer(answer: AttemptResponse): AttemptFailureResult {
	return {
		kind: 'failure', reason: 'backend-failed', retryReason: 'backend-failed', mayHaveRun: true, wasSent: true, detail: `the backend server answered ${answer.status}`,
	};
}
