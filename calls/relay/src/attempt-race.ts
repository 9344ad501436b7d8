/** Waits for concurrent attempts of one request, and for promises with a time limit. */
import type {AttemptFailureResult, AttemptResult} from './attempt-result.js';
import type {RelayAttempt} from './relay-attempt.js';

/** An attempt that was started, and its result. */
export interface RunningAttempt {
	readonly attempt: RelayAttempt;
	readonly result: Promise<AttemptResult>;
	readonly hasEnded: () => boolean;
}

/** Returns whether a promise resolves within a time, in milliseconds. */
export async function endsWithin({result, timeoutMs}: {readonly result: Promise<unknown>; readonly timeoutMs: number}): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, timeoutMs);
		const end = async (): Promise<void> => {
			await result;
			clearTimeout(timer);
			resolve(true);
		};

		void end();
	});
}

/**
 * Returns the first response of two attempts that can be delivered, and aborts the other attempt. If neither can be
 * delivered, a response takes precedence over a failure, and two failures are merged.
 */
export async function takeFirstDeliverable({first, second}: {readonly first: RunningAttempt; readonly second: RunningAttempt}): Promise<AttemptResult> {
	const settle = async (attempt: RunningAttempt, other: RunningAttempt) => ({result: await attempt.result, other});
	const {result, other} = await Promise.race([settle(first, second), settle(second, first)]);
	if (result.kind === 'answer' && result.answerClass === 'deliver') {
		other.attempt.abort({kind: 'cancelled', detail: 'another server answered first'});
		return result;
	}

	const otherResult = await other.result;
	if (otherResult.kind === 'answer' || result.kind === 'answer') {
		return otherResult.kind === 'answer' ? otherResult : result;
	}

	return mergeFailures({first: result, second: otherResult});
}

/** Merges the failures of two attempts. The request may have run, or reached a server, if that is so for either attempt. */
function mergeFailures({first, second}: {readonly first: AttemptFailureResult; readonly second: AttemptFailureResult}): AttemptFailureResult {
	return {
		...(second.mayHaveRun ? second : first), mayHaveRun: first.mayHaveRun || second.mayHaveRun, wasSent: first.wasSent || second.wasSent,
	};
}
