/** Checks on how many servers a request runs, and how long servers are asked to work on it. */
import type {ExecutionRecord} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';
import type {Violation} from './call-check.js';

/** Tolerance of the users' rule for deadlines, in milliseconds. */
const TOLERANCE_MS = 500;
/** Number of deadlines that may end too late, and share of them that may. */
const MAX_LATE = 20;
const MAX_LATE_SHARE = 0.2;

/** Options of {@link checkAttempts}. */
export interface CheckAttemptsOptions {
	/** Monotonic time at which each request was sent, in milliseconds. */
	readonly sentAtMs: ReadonlyMap<string, number>;
	/** Time for which callers wait, in milliseconds. */
	readonly timeLeftMs: number;
	readonly maxServers: number;
	readonly executions: readonly ExecutionRecord[];
}

/** Returns a violation for each request that ran on too many servers. */
export function checkServersPerRequest({executions, maxServers}: Pick<CheckAttemptsOptions, 'executions' | 'maxServers'>): readonly Violation[] {
	return [...groupBy(executions, ({requestId}) => requestId)].flatMap(([requestId, runs]): readonly Violation[] => {
		const servers = new Set(runs.map(({server}) => server));
		return servers.size > maxServers ? [{requestId, kind: 'too-many-servers', detail: [...servers].join(', ')}] : [];
	});
}

/** Returns a violation if too many deadlines ended too late. Delays on the paths to servers are not told apart from it. */
export function checkDeadlines({executions, sentAtMs, timeLeftMs}: Pick<CheckAttemptsOptions, 'executions' | 'sentAtMs' | 'timeLeftMs'>): readonly Violation[] {
	const judged = [...groupBy(executions, ({requestId}) => requestId)].flatMap(([requestId, runs]) => {
		const [first, ...later] = runs.toSorted((a, b) => a.atMs - b.atMs);
		const callerEndMs = (sentAtMs.get(requestId) ?? first!.atMs) + timeLeftMs;
		const latestMs = Math.max(endOf(first!), callerEndMs) + TOLERANCE_MS;
		return [
			...(first!.timeLeftMs > timeLeftMs + TOLERANCE_MS ? [true] : []),
			...later.filter(({atMs}) => atMs > first!.atMs + TOLERANCE_MS).map(run => endOf(run) > latestMs),
		];
	});
	const late = judged.filter(Boolean).length;
	return late > MAX_LATE && late > judged.length * MAX_LATE_SHARE
		? [{requestId: '', kind: 'late-deadline', detail: `${late} of ${judged.length} deadlines ended too late`}]
		: [];
}

function endOf({atMs, timeLeftMs}: ExecutionRecord): number {
	return atMs + timeLeftMs;
}
