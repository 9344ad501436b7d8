/** Checks the responses that callers received against the requests that the servers executed. */
import {guaranteesNotRun} from '@pomelopick/testing.gateway-fleet';
import type {CallerResponse, ExecutionRecord} from '@pomelopick/testing.gateway-fleet';
import {groupBy} from '@pomelopick/testing.history';

/** A request and the response that its caller received. */
export interface CallRecord {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body: string;
	readonly answer: CallerResponse;
	/** Key that its caller sent; undefined: none. */
	readonly key?: string | undefined;
}

/** A request with its gateway and its times. */
export interface TracedCall extends CallRecord {
	/** Gateway that the caller sent the request to. */
	readonly instance: string;
	/** Monotonic times at which the call was sent and its response arrived, in milliseconds. */
	readonly sentAtMs: number;
	readonly answeredAtMs: number;
	/** Time until the deadline that the caller stated, in milliseconds. */
	readonly timeLeftMs: number;
}

/** A violated guarantee. */
export interface Violation {
	/** Empty if the violation does not concern a single request. */
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
		| 'instance-silent'
		| 'retry-budget'
		| 'quota'
		| 'max-attempts'
		| 'time-handed'
		| 'rate-limit'
		| 'key-passed-on'
		| 'wrong-organisation'
		| 'revoked-key-served'
		| 'valid-key-refused'
		| 'unfair-share'
		| 'upload-bytes'
		| 'sent-to-leaving'
		| 'sent-in-pause'
		| 'missed-change'
		| 'went-back';
	readonly detail: string;
}

/** Options of {@link checkCalls}. */
export interface CheckCallsOptions {
	readonly calls: readonly CallRecord[];
	readonly executions: readonly ExecutionRecord[];
}

/** Returns all violations of the guarantees for requests and responses. */
export function checkCalls({calls, executions}: CheckCallsOptions): readonly Violation[] {
	const byId = new Map(calls.map(call => [call.answer.requestId, call]));
	const runs = groupBy(executions, ({requestId}) => requestId);
	return [
		...calls.flatMap(call => checkCall({call, runs: runs.get(call.answer.requestId) ?? []})),
		...executions.flatMap(execution => checkExecution({execution, call: byId.get(execution.requestId)})),
	];
}

function checkCall({call: {method, answer}, runs}: {readonly call: CallRecord; readonly runs: readonly ExecutionRecord[]}): readonly Violation[] {
	const {requestId, status, text} = answer;
	const violations: Violation[] = [];
	if (method === 'POST' && runs.length > 1) {
		violations.push({requestId, kind: 'ran-twice', detail: runs.map(({server}) => server).join(' and ')});
	}

	if (guaranteesNotRun(status) && runs.length > 0) {
		violations.push({requestId, kind: 'ran-though-refused', detail: `status ${status}, executed by ${runs[0]!.server}`});
	}

	if (status === 200 && !isMatchingResponse({answer, runs})) {
		violations.push({requestId, kind: 'wrong-answer', detail: text});
	}

	return violations;
}

function isMatchingResponse({answer: {requestId, text, headers}, runs}: {readonly answer: CallerResponse; readonly runs: readonly ExecutionRecord[]}): boolean {
	try {
		const body = JSON.parse(text) as {readonly requestId: string; readonly server: string};
		return body.requestId === requestId && headers['x-server-stamp'] === `${body.server}.${requestId}` && runs.some(({server}) => server === body.server);
	} catch {
		return false;
	}
}

function checkExecution({execution, call}: {readonly execution: ExecutionRecord; readonly call: CallRecord | undefined}): readonly Violation[] {
	const {requestId, server, method, path, body, expectedServer} = execution;
	if (!call) {
		return [{requestId, kind: 'unasked', detail: `${method} ${path} at ${server}`}];
	}

	const isSame = call.method === method && call.path === path && call.body === body;
	return [
		...(isSame ? [] : [{requestId, kind: 'changed' as const, detail: `${method} ${path} ${body}`}]),
		...(expectedServer === server ? [] : [{requestId, kind: 'wrong-server' as const, detail: `${expectedServer ?? 'none'} expected, executed by ${server}`}]),
	];
}
