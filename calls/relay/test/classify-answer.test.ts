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
		name: 'a success without its stamp', status: 200, headers: {}, expected: 'unusable',
	},
	{
		name: 'a stamped refusal of the request itself', status: 404, headers: stamped, expected: 'deliver',
	},
	{
		name: 'a stamped failure', status: 500, headers: stamped, expected: 'server-failure',
	},
	{
		name: 'a stamped timeout of the server', status: 504, headers: stamped, expected: 'server-failure',
	},
	{
		name: 'a failure without a stamp', status: 500, headers: {}, expected: 'unusable',
	},
	{
		name: 'a full server', status: 503, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a rate limit', status: 429, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a request without an id', status: 400, headers: notRun, expected: 'not-run',
	},
	{
		name: 'a 503 that does not say that nothing was run', status: 503, headers: stamped, expected: 'unusable',
	},
	{
		name: 'a 429 that does not say that nothing was run', status: 429, headers: stamped, expected: 'unusable',
	},
	{
		name: 'a 500 that claims that nothing was run', status: 500, headers: notRun, expected: 'unusable',
	},
	{
		name: 'another server at the address', status: 421, headers: {}, expected: 'other-server',
	},
];

describe('judgeAnswer', () => {
	for (const {name, status, headers, expected} of cases) {
		it(`says ${expected} of ${name}`, () => {
			assert.equal(classifyAnswer({status, headers, names}), expected);
		});
	}
});
