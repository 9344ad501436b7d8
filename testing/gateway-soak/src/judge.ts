/** Judges what callers got against what the servers ran. */
import {isPromise} from '@pomelopick/testing.gateway-fleet';
import type {CallerAnswer, ExecutionRecord} from '@pomelopick/testing.gateway-fleet';

/** A request and what its caller got. */
export interface CallRecord {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body: string;
	readonly answer: CallerAnswer;
}

/** A request, and when and by way of which gateway its caller sent it. */
export interface TracedCall extends CallRecord {
	/** Gateway that was called. */
	readonly instance: string;
	/** Monotonic times at which the call was sent and answered, in milliseconds. */
	readonly sentAtMs: number;
	readonly answeredAtMs: number;
}

/** A broken promise. */
export interface Violation {
	/** Empty where it concerns no request. */
	readonly requestId: string;
	readonly kind:
		| 'ran-twice'
		| 'ran-though-refused'
		| 'wrong-answer'
		| 'unasked'
		| 'changed'
		| 'wrong-server'
		| 'instance-not-ready'
		| 'instance-failed'
		| 'retry-budget'
		| 'sent-to-leaving'
		| 'sent-in-pause';
	readonly detail: string;
}

/** Options of {@link judgeCalls}. */
export interface JudgeCallsOptions {
	readonly calls: readonly CallRecord[];
	readonly executions: readonly ExecutionRecord[];
}

/** Lists every promise that was broken. */
export function judgeCalls({calls, executions}: JudgeCallsOptions): readonly Violation[] {
	const byId = new Map(calls.map(call => [call.answer.requestId, call]));
	const runs = groupById(executions);
	return [
		...calls.flatMap(call => judgeCall({call, runs: runs.get(call.answer.requestId) ?? []})),
		...executions.flatMap(execution => judgeExecution({execution, call: byId.get(execution.requestId)})),
	];
}

function judgeCall({call: {method, answer}, runs}: {readonly call: CallRecord; readonly runs: readonly ExecutionRecord[]}): readonly Violation[] {
	const {requestId, status, text} = answer;
	const found: Violation[] = [];
	if (method === 'POST' && runs.length > 1) {
		found.push({requestId, kind: 'ran-twice', detail: runs.map(({server}) => server).join(' and ')});
	}

	if (isPromise(status) && runs.length > 0) {
		found.push({requestId, kind: 'ran-though-refused', detail: `${status}, run by ${runs[0]!.server}`});
	}

	if (status === 200 && !isOwnAnswer({answer, runs})) {
		found.push({requestId, kind: 'wrong-answer', detail: text});
	}

	return found;
}

function isOwnAnswer({answer: {requestId, text, headers}, runs}: {readonly answer: CallerAnswer; readonly runs: readonly ExecutionRecord[]}): boolean {
	try {
		const body = JSON.parse(text) as {readonly requestId: string; readonly server: string};
		return body.requestId === requestId && headers['x-server-stamp'] === `${body.server}.${requestId}` && runs.some(({server}) => server === body.server);
	} catch {
		return false;
	}
}

function judgeExecution({execution, call}: {readonly execution: ExecutionRecord; readonly call: CallRecord | undefined}): readonly Violation[] {
	const {requestId, server, method, path, body, expectedServer} = execution;
	if (!call) {
		return [{requestId, kind: 'unasked', detail: `${method} ${path} at ${server}`}];
	}

	const isSame = call.method === method && call.path === path && call.body === body;
	return [
		...(isSame ? [] : [{requestId, kind: 'changed' as const, detail: `${method} ${path} ${body}`}]),
		...(expectedServer === server ? [] : [{requestId, kind: 'wrong-server' as const, detail: `${expectedServer ?? 'none'} expected, run by ${server}`}]),
	];
}

function groupById(executions: readonly ExecutionRecord[]): Map<string, ExecutionRecord[]> {
	const groups = new Map<string, ExecutionRecord[]>();
	for (const execution of executions) {
		const group = groups.get(execution.requestId);
		if (group) {
			group.push(execution);
		} else {
			groups.set(execution.requestId, [execution]);
		}
	}

	return groups;
}
