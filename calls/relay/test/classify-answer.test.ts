import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {classifyAnswer} from '@pomelopick/calls.relay';
import type {AnswerClass} from '@pomelopick/calls.relay';

const names = {answerStamp: 'x-stamp', notRun: 'x-not-run'};
const stamped = {'x-stamp': 'signature'};
const notRun = {'x-not-run': '1'};

const cases: ReadonlyArray<{name: string; status: number; headers: Record<string, string>; expected: AnswerClass}> = [
	{
		name: 'a stamped success', status: 200, headers: stamped, expected: 'deliver',
	},
	{
		name: 'a success without a stamp', status: 200, headers: {}, expected: 'unusable',
	},
	{
		name: 'a stamped client error', status: 404, headers: stamped, expected: 'deliver',
	},
	{
		name: 'a stamped server error', status: 500, headers: stamped, expected: 'server-failure',
	},
	{
		name: 'a stamped gateway timeout', status: 504, headers: stamped, expected: 'server-failure',
	},
	{
		name: 'a server error without a stamp', status: 500, headers: {}, expected: 'unusable',
	},
	{
		name: 'a 503 marked as not run', status: 503, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a 429 marked as not run', status: 429, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a 400 marked as not run', status: 400, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a stamped 503 not marked as not run', status: 503, headers: stamped, expected: 'unusable',
	},
	{
		name: 'a stamped 429 not marked as not run', status: 429, headers: stamped, expected: 'unusable',
	},
	{
		name: 'a 500 marked as not run', status: 500, headers: notRun, expected: 'unusable',
	},
	{
		name: 'a 421 of another server at the address', status: 421, headers: {}, expected: 'other-server',
	},
];

describe('judgeAnswer', () => {
	for (const {name, status, headers, expected} of cases) {
		it(`classifies ${name} as ${expected}`, () => {
			assert.equal(classifyAnswer({status, headers, names}), expected);
		});
	}
});
