/** Lets a suspect wait for the check of a server that dropped it. */
import {endsWithin} from './attempt-race.js';
import type {RelayedRequest} from './relayed-request.js';

/** Maximum time for which a suspect waits until it is known whether it was in flight at a crash, in milliseconds. */
const CRASH_CHECK_WAIT_MS = 750;

/** Options of {@link waitForCrashCheck}. */
export interface WaitForCrashCheckOptions {
	readonly request: RelayedRequest;
	/** Check of the server that dropped the request; undefined: no server dropped it. */
	readonly crashCheck: Promise<boolean> | undefined;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/**
 * Marks a request that a server dropped as a suspect. If it was a suspect before, waits until it is known whether the
 * server crashed, so that the request is not run again before it can be quarantined.
 */
export async function waitForCrashCheck({request, crashCheck, now}: WaitForCrashCheckOptions): Promise<void> {
	if (!crashCheck) {
		return;
	}

	const wasSuspect = request.isSuspect;
	request.isSuspect = true;
	if (wasSuspect) {
		const timeLeftMs = request.options.answerByMs - now();
		await endsWithin({result: crashCheck, timeoutMs: Math.min(CRASH_CHECK_WAIT_MS, timeLeftMs)});
	}
}
