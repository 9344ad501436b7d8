import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkDeadlines, checkServersPerRequest} from '@pomelopick/testing.gateway-soak';
import type {ExecutionRecord} from '@pomelopick/testing.gateway-fleet';

const REQUESTS = 30;
const TIME_LEFT_MS = 2000;

function createExecutions(runs: ReadonlyArray<Pick<ExecutionRecord, 'server' | 'atMs' | 'timeLeftMs'>>): readonly ExecutionRecord[] {
	return Array.from({length: REQUESTS}, (_, index) => index).flatMap(index => runs.map(run => ({
		requestId: `request-${index}`, method: 'GET', path: '/', body: '', expectedServer: run.server, wasCancelled: false, ...run,
	})));
}

const first = {server: 'a', atMs: 0, timeLeftMs: TIME_LEFT_MS};
const sentAtMs = new Map(Array.from({length: REQUESTS}, (_, index) => [`request-${index}`, 0]));
const deadlines: ReadonlyArray<{name: string; second: Pick<ExecutionRecord, 'server' | 'atMs' | 'timeLeftMs'>; expected: readonly string[]}> = [
	{name: 'accepts what is left', second: {server: 'b', atMs: 900, timeLeftMs: 1100}, expected: []},
	{name: 'accepts a repeat that comes soon', second: {server: 'b', atMs: 500, timeLeftMs: TIME_LEFT_MS}, expected: []},
	{name: 'finds a repeat that is given all of the time', second: {server: 'b', atMs: 900, timeLeftMs: TIME_LEFT_MS}, expected: ['late-deadline']},
];

describe('the check of attempts', () => {
	for (const {name, second, expected} of deadlines) {
		it(name, () => {
			assert.deepEqual(checkDeadlines({executions: createExecutions([first, second]), sentAtMs, timeLeftMs: TIME_LEFT_MS}).map(({kind}) => kind), expected);
		});
	}

	it('finds a request that ran on too many servers', () => {
		const executions = createExecutions([first, {...first, server: 'b'}, {...first, server: 'c'}, {...first, server: 'c'}]);
		assert.equal(checkServersPerRequest({executions, maxServers: 3}).length, 0);
		assert.equal(checkServersPerRequest({executions, maxServers: 2}).length, REQUESTS);
	});
});
