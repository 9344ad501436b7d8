import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isClean} from '@pomelopick/testing.demo';
import type {DemoResult} from '@pomelopick/testing.demo';

const clean: DemoResult = {
	deployment: 'small', stopExitCode: 0, calls: 10, answered: 9, refused: 1, failed: 0, silent: 0, wrongAnswers: 0, doubleExecutions: 0, falseNotRun: 0, refusalsByReason: {}, p50Ms: 1, p99Ms: 2,
};

const cases: ReadonlyArray<{name: string; results: readonly DemoResult[]; expected: boolean}> = [
	{name: 'refusals do not fail it', results: [clean, clean], expected: true},
	{name: 'a silent call fails it', results: [clean, {...clean, silent: 1}], expected: false},
	{name: 'a wrong answer fails it', results: [{...clean, wrongAnswers: 1}], expected: false},
	{name: 'a double execution fails it', results: [{...clean, doubleExecutions: 1}], expected: false},
	{name: 'a call that was run and told "not run" fails it', results: [{...clean, falseNotRun: 1}], expected: false},
	{name: 'no calls fail it', results: [{...clean, calls: 0}], expected: false},
	{name: 'no runs fail it', results: [], expected: false},
];

describe('comparison of records and executions', () => {
	for (const {name, results, expected} of cases) {
		it(name, () => {
			assert.equal(isClean(results), expected);
		});
	}
});
