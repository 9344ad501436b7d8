/** Judges a history against what must hold under any faults. */
import type {Execution} from '@pomelopick/testing.backend-stand-in';
import {groupBy} from './group-by.js';
import type {CopyRecord, History} from './records.js';

/** What must hold. */
export type Property = 'whole-own-answer' | 'at-most-once' | 'not-run-is-true' | 'ran-is-true' | 'one-outcome-a-key' | 'answers-were-executed';

/** A breach of a property. */
export interface Violation {
	readonly property: Property;
	/** Key or call that it concerns. */
	readonly subject: string;
	readonly detail: string;
}

/** Checks every property; an empty list when all hold. */
export function checkHistory(history: History): readonly Violation[] {
	return [
		...checkAnswers(history),
		...checkExecutions(history),
		...checkNotRun(history),
		...checkRan(history),
		...checkOutcomes(history),
		...checkRead(history),
		...checkExecuted(history),
	];
}

/** No answer is wrong, mixed or truncated. */
function checkAnswers({copies}: History): readonly Violation[] {
	return copies.filter(({ended}) => ended === 'wrong').map(copy => ({property: 'whole-own-answer', subject: subjectOf(copy), detail: copy.detail ?? ''}));
}

/** A key is executed once at most; so is a write without a key, whose call id no other copy has. */
function checkExecutions({executions}: History): readonly Violation[] {
	const writes = executions.filter(({method}) => method !== 'GET' && method !== 'HEAD');
	return [...groupBy(writes, ({idempotencyKey, callId}) => idempotencyKey ?? callId)]
		.filter(([, group]) => group.length > 1)
		.map(([subject, group]) => ({property: 'at-most-once', subject, detail: `executed for the calls ${group.map(({callId}) => callId).join(', ')}`}));
}

/**
 * When a copy was told "not run", nothing had been run under its key by then, and nothing was run for that copy later.
 * A refused conflict speaks of another request than the one that the key stands for.
 */
function checkNotRun({copies, executions}: History): readonly Violation[] {
	const byKey = groupBy(executions, ({idempotencyKey}) => idempotencyKey ?? '');
	const byCall = groupBy(executions, ({callId}) => callId);
	return copies
		.filter(({execution, reason}) => execution === 'not-run' && reason !== 'key-conflict')
		.flatMap(copy => {
			const ofCall = byCall.get(copy.callId ?? '') ?? [];
			const ofKey = copy.key === undefined ? [] : (byKey.get(copy.key) ?? []).filter(({startedAtMs}) => startedAtMs <= copy.endedAtMs);
			const found = ofCall[0] ?? ofKey[0];
			return found ? [{property: 'not-run-is-true' as const, subject: subjectOf(copy), detail: `told ${copy.reason}, executed for call ${found.callId}`}] : [];
		});
}

/** A copy that was told "ran" was executed, or its key was. */
function checkRan({copies, executions}: History): readonly Violation[] {
	const calls = new Set(executions.map(({callId}) => callId));
	const keys = new Set(executions.map(({idempotencyKey}) => idempotencyKey));
	return copies
		.filter(({execution, key, callId}) => execution === 'ran' && !calls.has(callId ?? '') && (key === undefined || !keys.has(key)))
		.map(copy => ({property: 'ran-is-true', subject: subjectOf(copy), detail: `told ${copy.reason}, never executed`}));
}

/** All answers under one key are those of one execution. */
function checkOutcomes({copies}: History): readonly Violation[] {
	const answered = copies.filter(({key, ended}) => key !== undefined && ended === 'answered');
	return [...groupBy(answered, ({key}) => key!)]
		.map(([key, group]) => ({key, answers: new Set(group.map(({answeredCallId}) => answeredCallId))}))
		.filter(({answers}) => answers.size > 1)
		.map(({key, answers}) => ({property: 'one-outcome-a-key', subject: key, detail: `answered with the outcomes of the calls ${[...answers].join(', ')}`}));
}

/** What instances said of keys: "not run" of keys that had not been run, "ran" and kept answers of keys that had. */
function checkRead({outcomes = [], executions}: History): readonly Violation[] {
	const byKey = groupBy(executions, ({idempotencyKey}) => idempotencyKey ?? '');
	return outcomes.flatMap(({key, execution, startedAtMs, answeredCallId}): readonly Violation[] => {
		const ofKey = byKey.get(key) ?? [];
		if (execution === 'not-run') {
			return ofKey.filter(run => run.startedAtMs < startedAtMs).map(({callId}) => ({property: 'not-run-is-true', subject: key, detail: `read as not run, executed for call ${callId}`}));
		}

		const isKnown = answeredCallId === undefined ? ofKey.length > 0 : ofKey.some(({callId}) => callId === answeredCallId);
		return execution === 'ran' && !isKnown ? [{property: 'ran-is-true', subject: key, detail: `read as run, with the answer of call ${answeredCallId}`}] : [];
	});
}

/** Every answer is that of an execution. */
function checkExecuted({copies, executions}: History): readonly Violation[] {
	const executed = new Set(executions.map(({callId}) => callId));
	return copies
		.filter(({ended, answeredCallId}) => ended === 'answered' && !executed.has(answeredCallId ?? ''))
		.map(copy => ({property: 'answers-were-executed', subject: subjectOf(copy), detail: `answered for call ${copy.answeredCallId}, which no backend server executed`}));
}

/** Counts of a history, for its report. */
export interface HistorySummary {
	readonly copies: number;
	readonly executions: number;
	readonly answered: number;
	readonly silent: number;
	/** Answers that an earlier copy's execution gave. */
	readonly replayed: number;
	/** Keys with an execution of which no copy ever got the answer. */
	readonly lostOutcomes: number;
	readonly refusals: Readonly<Record<string, number>>;
}

/** Counts what a history shows. */
export function summarize({copies, executions}: History): HistorySummary {
	const answeredKeys = new Set(copies.filter(({ended}) => ended === 'answered').map(({key}) => key));
	const executedKeys = new Set(executions.map(({idempotencyKey}: Execution) => idempotencyKey).filter(key => key !== undefined));
	const refusals: Record<string, number> = {};
	for (const {reason, execution} of copies) {
		if (reason !== undefined) {
			const name = `${reason} ${execution}`;
			refusals[name] = (refusals[name] ?? 0) + 1;
		}
	}

	return {
		copies: copies.length,
		executions: executions.length,
		answered: copies.filter(({ended}) => ended === 'answered').length,
		silent: copies.filter(({ended}) => ended === 'silent').length,
		replayed: copies.filter(({ended, callId, answeredCallId}) => ended === 'answered' && callId !== answeredCallId).length,
		lostOutcomes: [...executedKeys].filter(key => !answeredKeys.has(key)).length,
		refusals,
	};
}

function subjectOf({key, method, path}: CopyRecord): string {
	return key ?? `${method} ${path}`;
}
