import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkCalls} from '@pomelopick/testing.gateway-soak';
import type {CallRecord, Violation} from '@pomelopick/testing.gateway-soak';

const answer = (status: number, text = JSON.stringify({requestId: 'a', server: 'one'})) => ({
	requestId: 'a', status, text, headers: {'x-server-stamp': 'one.a'},
});
const call = (status: number, text?: string): CallRecord => ({
	method: 'POST', path: '/write/x', body: 'x', answer: answer(status, text),
});
const read = (status: number): CallRecord => ({
	method: 'GET', path: '/read/x', body: '', answer: answer(status),
});
const run = (changes: Readonly<Record<string, unknown>> = {}) => ({
	requestId: 'a', server: 'one', method: 'POST', path: '/write/x', body: 'x', expectedServer: 'one', timeLeftMs: 100, play: 'whole' as const, wasCancelled: false, atMs: 0, ...changes,
});

const cases: ReadonlyArray<{name: string; calls: readonly CallRecord[]; executions: ReadonlyArray<ReturnType<typeof run>>; expected: ReadonlyArray<Violation['kind']>}> = [
	{
		name: 'nothing for a write that was run once and succeeded', calls: [call(200)], executions: [run()], expected: [],
	},
	{
		name: 'nothing for a write that failed after it was run', calls: [call(502)], executions: [run()], expected: [],
	},
	{
		name: 'a write that was run twice', calls: [call(200)], executions: [run(), run({server: 'two', expectedServer: 'two'})], expected: ['ran-twice'],
	},
	{
		name: 'a write that was run though it was refused', calls: [call(503)], executions: [run()], expected: ['ran-though-refused'],
	},
	{
		name: 'a read that was run though it was refused', calls: [read(503)], executions: [run({method: 'GET', path: '/read/x', body: ''})], expected: ['ran-though-refused'],
	},
	{
		name: 'nothing for a read that was run twice', calls: [read(200)], executions: [run({method: 'GET', path: '/read/x', body: ''}), run({method: 'GET', path: '/read/x', body: ''})], expected: [],
	},
	{
		name: 'the response to another request', calls: [call(200, JSON.stringify({requestId: 'b', server: 'one'}))], executions: [run()], expected: ['wrong-answer'],
	},
	{
		name: 'a truncated response', calls: [call(200, '{"requestId":"a"')], executions: [run()], expected: ['wrong-answer'],
	},
	{
		name: 'an execution that no caller requested', calls: [], executions: [run()], expected: ['unasked'],
	},
	{
		name: 'a body that was changed', calls: [call(200)], executions: [run({body: 'y'})], expected: ['changed'],
	},
	{
		name: 'an execution at another server than expected', calls: [call(200)], executions: [run({expectedServer: 'two'})], expected: ['wrong-server'],
	},
];

describe('judgeCalls', () => {
	for (const {name, calls, executions, expected} of cases) {
		it(`finds ${name}`, () => {
			assert.deepEqual(checkCalls({calls, executions}).map(({kind}) => kind), expected);
		});
	}
});
