/** Guards against callers that wait for room where a server rejects requests although it has room, and against returning at once to a full one. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {failureOfAnswerClass} from '@pomelopick/calls.relay';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';

const cases: ReadonlyArray<{name: string; load: ServerLoad | undefined; retryAfterMs: number | undefined}> = [
	{
		name: 'a server with free slots', load: {
			running: 2, waiting: 0, slots: 6, workFactor: 1,
		}, retryAfterMs: 30,
	},
	{
		name: 'a server without free slots', load: {
			running: 6, waiting: 18, slots: 6, workFactor: 1,
		}, retryAfterMs: undefined,
	},
	{
		name: 'a server that does not state its work factor, as before', load: {running: 2, waiting: 0, slots: 6}, retryAfterMs: undefined,
	},
	{name: 'a server that reports no load', load: undefined, retryAfterMs: undefined},
];

describe('failureOfAnswerClass', () => {
	for (const {name, load, retryAfterMs} of cases) {
		it(`states ${retryAfterMs ?? 'no'} time to return after a rejection by ${name}`, () => {
			const failure = failureOfAnswerClass({
				answerClass: 'not-run', status: 503, server: 'server' as BackendServerName, load,
			});
			assert.equal(failure.retryAfterMs, retryAfterMs);
			assert.equal(failure.mayHaveRun, false);
		});
	}
});
