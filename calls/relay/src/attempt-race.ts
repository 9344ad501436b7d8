/** Two attempts of one request at the same time. */
import type {AttemptFailureResult, AttemptResult, RelayAttempt} from './relay-attempt.js';

/** An attempt and its result. */
export interface RunningAttempt {
	readonly attempt: RelayAttempt;
	readonly result: Promise<AttemptResult>;
	readonly hasEnded: () => boolean;
}

/** Whether something ends within a time, in milliseconds. */
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

/** The first answer of two attempts that can be delivered; the other attempt is then given up. Two failures count together. */
export async function takeFirstGood({first, second}: {readonly first: RunningAttempt; readonly second: RunningAttempt}): Promise<AttemptResult> {
	const settle = async (own: RunningAttempt, other: RunningAttempt) => ({result: await own.result, other});
	const {result, other} = await Promise.race([settle(first, second), settle(second, first)]);
	if (result.kind === 'answer' && result.verdict === 'deliver') {
		other.attempt.giveUp({kind: 'cancelled', detail: 'another server answered first'});
		return result;
	}

	const otherResult = await other.result;
	if (otherResult.kind === 'answer' || result.kind === 'answer') {
		return otherResult.kind === 'answer' ? otherResult : result;
	}

	return joinFailures({first: result, second: otherResult});
}

/** One failure for two attempts: the request may have run, or reached a server, when it may have at either. */
function joinFailures({first, second}: {readonly first: AttemptFailureResult; readonly second: AttemptFailureResult}): AttemptFailureResult {
	return {
		...(second.mayHaveRun ? second : first), mayHaveRun: first.mayHaveRun || second.mayHaveRun, wasSent: first.wasSent || second.wasSent,
	};
}
