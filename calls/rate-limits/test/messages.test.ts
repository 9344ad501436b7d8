import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	decodePermitAnswer, decodePermitRequest, encodeRateLimit, rateLimitReader,
} from '@pomelopick/calls.rate-limits';

const record = {
	name: 'a', startedAtMs: 1, requestsPerSecond: 2.9, version: 7,
};
const records: ReadonlyArray<{name: string; record: unknown; isRead: boolean}> = [
	{name: 'a limit', record, isRead: true},
	{name: 'the end of a limit', record: {name: 'a', startedAtMs: 1, version: 7}, isRead: true},
	{name: 'a server without a start time', record: {...record, startedAtMs: undefined}, isRead: true},
	{name: 'no record', record: undefined, isRead: false},
	{name: 'a server name that is no text', record: {...record, name: 5}, isRead: false},
	{name: 'a negative limit', record: {...record, requestsPerSecond: -1}, isRead: false},
	{name: 'a limit that is text', record: {...record, requestsPerSecond: '2'}, isRead: false},
	{name: 'no version', record: {...record, version: undefined}, isRead: false},
	{name: 'a version that is too large to be compared', record: {...record, version: 1e300}, isRead: false},
];

describe('messages about rate limits', () => {
	for (const {name, record: sent, isRead} of records) {
		it(`${isRead ? 'are' : 'are not'} read with ${name}`, () => {
			assert.equal(decodePermitRequest(JSON.stringify({record: sent})).isRight(), isRead);
			assert.equal(decodePermitAnswer(JSON.stringify({isGranted: false, retryAfterMs: 20, record: sent})).isRight(), isRead);
		});
	}

	const answers: ReadonlyArray<{name: string; text: string}> = [
		{name: 'no JSON', text: '{'},
		{name: 'nothing', text: 'null'},
		{name: 'no decision', text: JSON.stringify({retryAfterMs: 0, record})},
		{name: 'a negative time', text: JSON.stringify({isGranted: false, retryAfterMs: -1, record})},
	];
	for (const {name, text} of answers) {
		it(`are not read from an answer with ${name}`, () => {
			assert.equal(decodePermitAnswer(text).isLeft(), true);
		});
	}

	for (const text of ['{', 'null', '[]', '']) {
		it(`are not read from the request ${JSON.stringify(text)}`, () => {
			assert.equal(decodePermitRequest(text).isLeft(), true);
		});
	}

	const stored: ReadonlyArray<{name: string; value: Uint8Array; read: number; malformed: number}> = [
		{
			name: 'a record', value: encodeRateLimit({...record, name: 'a' as never}), read: 1, malformed: 0,
		},
		{
			name: 'bytes that are no JSON', value: new Uint8Array([0xFF, 0]), read: 0, malformed: 1,
		},
		{
			name: 'another form', value: new TextEncoder().encode('[]'), read: 0, malformed: 1,
		},
	];
	for (const {name, value, read, malformed} of stored) {
		it(`are read from the store as ${name}`, () => {
			const counts = {read: 0, malformed: 0};
			const reader = rateLimitReader({
				onRecord() {
					counts.read += 1;
				}, onMalformed() {
					counts.malformed += 1;
				},
			});
			reader.write({key: 'pomelopick/rate-limits/a', value, modifyIndex: 1});
			assert.deepEqual(counts, {read, malformed});
		});
	}
});
