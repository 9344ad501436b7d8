/** Compares the records of callers with the executions at backend servers. */
import type {Execution} from '@pomelopick/testing.backend-stand-in';
import type {CallRecord} from './caller.js';

/** Counts of calls by outcome, and counts of violations. */
export interface RecordSummary {
	readonly calls: number;
	readonly answered: number;
	readonly refused: number;
	readonly silent: number;
	readonly wrongAnswers: number;
	/** Number of idempotency keys that were executed more than once. */
	readonly doubleExecutions: number;
	/** Number of calls that were refused as "not run" although they were run. */
	readonly falseNotRun: number;
	readonly refusalsByReason: Readonly<Record<string, number>>;
}

/** Options of {@link compareRecords}. */
export interface CompareOptions {
	readonly records: readonly CallRecord[];
	readonly executions: readonly Execution[];
}

/** Counts outcomes, and finds violations by comparing records with executions. */
export function compareRecords({records, executions}: CompareOptions): RecordSummary {
	const executedCalls = new Set(executions.map(({callId}) => callId));
	const executionsByKey = new Map<string, number>();
	for (const {idempotencyKey} of executions) {
		if (idempotencyKey !== undefined) {
			executionsByKey.set(idempotencyKey, (executionsByKey.get(idempotencyKey) ?? 0) + 1);
		}
	}

	const count = (ended: CallRecord['ended']): number => records.filter(record => record.ended === ended).length;
	// A key conflict refuses a different request than the one that the key belongs to, so its call id decides.
	const isFalselyNotRun = ({execution, reason, key, callId}: CallRecord): boolean => {
		const wasRun = key === undefined || reason === 'key-conflict' ? executedCalls.has(callId ?? '') : executionsByKey.has(key);
		return execution === 'not-run' && wasRun;
	};

	return {
		calls: records.length,
		answered: count('answered'),
		refused: count('refused'),
		silent: count('silent'),
		wrongAnswers: count('wrong'),
		doubleExecutions: [...executionsByKey.values()].filter(executed => executed > 1).length,
		falseNotRun: records.filter(record => isFalselyNotRun(record)).length,
		refusalsByReason: countReasons(records),
	};
}

function countReasons(records: readonly CallRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {reason} of records) {
		if (reason !== undefined) {
			counts[reason] = (counts[reason] ?? 0) + 1;
		}
	}

	return counts;
}
