/** Ways in which a request that crashes servers ends them, and how its caller behaves. */
import type {CallGatewayOptions, Play} from '@pomelopick/testing.gateway-fleet';

/**
 * How the end of a server shows: it resets its connections; it falls silent; it does either after the caller has left; or
 * it ends in one of three runs only, and fails the others. `none`: the request is not sent.
 */
export type CrashEnding = 'reset' | 'silent' | 'caller-left' | 'silent-after-caller' | 'one-of-three' | 'none';

/** Time from sending the request to the caller's leaving, in milliseconds, and to the end of the server. */
const LEAVE_MS = 100;
const WORK_MS = 150;
const RUNS_PER_CRASH = 3;

/** Plays with which a request ends its server. */
export const crashingPlays: ReadonlySet<Play> = new Set<Play>(['crash', 'fall-silent']);

/** Returns what the caller adds to the request that is sent for the given time, counted from 0. */
export function crashingCall({ending, count}: {readonly ending: CrashEnding; readonly count: number}): Pick<CallGatewayOptions, 'plays' | 'workMs' | 'signal'> {
	switch (ending) {
		case 'silent': {
			return {plays: ['fall-silent']};
		}

		case 'caller-left': {
			return {plays: ['crash'], workMs: WORK_MS, signal: AbortSignal.timeout(LEAVE_MS)};
		}

		case 'silent-after-caller': {
			return {plays: ['fall-silent'], workMs: WORK_MS, signal: AbortSignal.timeout(LEAVE_MS)};
		}

		case 'one-of-three': {
			return {plays: count % RUNS_PER_CRASH === 0 ? ['crash', 'failure'] : ['failure']};
		}

		case 'reset':
		case 'none': {
			return {plays: ['crash']};
		}
	}
}
