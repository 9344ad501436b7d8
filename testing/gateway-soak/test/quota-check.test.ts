/** The judge of quotas: a fleet that exceeds a bound by one request must not pass. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkQuota} from '@pomelopick/testing.gateway-soak';
import type {QuotaCall} from '@pomelopick/testing.gateway-fleet';

/** Allowed in a window: (4 x 5 + 5) x 1.1 + 20, rounded down 47. */
const organisation = {
	name: 'a', keys: ['k'], ratePerSecond: 4, burst: 5,
};
const ALLOWED = 47;

interface Series {
	readonly count: number;
	readonly everyMs: number;
	/** Time from the caller to the run at a server, in milliseconds. */
	readonly delayMs?: number;
	readonly status?: number;
}

function judge({count, everyMs, delayMs = 1, status = 200}: Series): readonly string[] {
	const calls = Array.from({length: count}, (_, number): QuotaCall => ({
		requestId: `a-${number}`, sentAtMs: number * everyMs, endpoint: {address: '', port: 0}, status, retryAfter: undefined, text: '',
	}));
	const executions = calls.map(({requestId, sentAtMs}) => ({requestId, atMs: sentAtMs + delayMs}));
	return checkQuota({organisation, calls, records: {executions}}).map(({kind}) => kind);
}

const cases: ReadonlyArray<{readonly name: string; readonly series: Series; readonly expected: readonly string[]}> = [
	{name: 'as many as allowed in a window', series: {count: ALLOWED, everyMs: 10}, expected: []},
	{name: 'one more than allowed in a window', series: {count: ALLOWED + 1, everyMs: 10}, expected: ['quota']},
	{name: 'any number over a longer time', series: {count: 500, everyMs: 120}, expected: []},
	{name: 'more than allowed that reach servers after the window in which they were sent', series: {count: ALLOWED + 1, everyMs: 10, delayMs: 6000}, expected: []},
	{name: 'a request that ran and was refused as not run', series: {count: 1, everyMs: 1, status: 429}, expected: ['ran-though-refused']},
];

describe('the judge of quotas', () => {
	for (const {name, series, expected} of cases) {
		it(`${expected.length === 0 ? 'accepts' : 'reports'} ${name}`, () => {
			assert.deepEqual(judge(series), expected);
		});
	}
});
