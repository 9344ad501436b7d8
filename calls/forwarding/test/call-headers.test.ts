import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Cancellation, endToEndHeaders, listHeaders} from '@pomelopick/calls.forwarding';

describe('endToEndHeaders', () => {
	const cases: ReadonlyArray<{name: string; headers: Record<string, string>; expected: string[]}> = [
		{name: 'drops the usual connection options', headers: {connection: 'keep-alive', accept: '*/*'}, expected: ['accept']},
		{name: 'drops headers that the connection header names', headers: {connection: 'X-Hop, close', 'x-hop': '1', accept: '*/*'}, expected: ['accept']},
		{name: 'ignores the letter case of names', headers: {connection: 'Keep-Alive, X-HOP', 'x-hop': '1', 'x-end': '2'}, expected: ['x-end']},
		{name: 'drops hop-by-hop headers', headers: {te: 'trailers', 'transfer-encoding': 'chunked', 'content-type': 'text/plain'}, expected: ['content-type']},
	];
	for (const {name, headers, expected} of cases) {
		it(name, () => {
			assert.deepEqual(Object.keys(endToEndHeaders(headers)), expected);
		});
	}
});

describe('listHeaders', () => {
	const cases: ReadonlyArray<{name: string; headers: Record<string, string | string[]>; added: string[]; expected: string[]}> = [
		{
			name: 'puts added headers last', headers: {accept: '*/*'}, added: ['x-call-id', 'one'], expected: ['accept', '*/*', 'x-call-id', 'one'],
		},
		{
			name: 'replaces a header of the same name', headers: {'x-call-id': 'forged', accept: '*/*'}, added: ['x-call-id', 'one'], expected: ['accept', '*/*', 'x-call-id', 'one'],
		},
		{
			name: 'does not confuse a value with a name', headers: {one: 'kept'}, added: ['x-call-id', 'one'], expected: ['one', 'kept', 'x-call-id', 'one'],
		},
		{
			name: 'repeats a name with several values', headers: {'set-cookie': ['a=1', 'b=2']}, added: [], expected: ['set-cookie', 'a=1', 'set-cookie', 'b=2'],
		},
	];
	for (const {name, headers, added, expected} of cases) {
		it(name, () => {
			assert.deepEqual(listHeaders({headers, added}), expected);
		});
	}
});

describe('Cancellation', () => {
	const cases: ReadonlyArray<{name: string; steps: ReadonlyArray<'read' | 'cancel'>; isAborted: boolean}> = [
		{name: 'has a signal that is not aborted before cancellation', steps: ['read'], isAborted: false},
		{name: 'aborts a signal that was read before cancellation', steps: ['read', 'cancel'], isAborted: true},
		{name: 'returns an aborted signal after cancellation', steps: ['cancel', 'read'], isAborted: true},
		{name: 'may be cancelled twice', steps: ['cancel', 'read', 'cancel'], isAborted: true},
	];
	for (const {name, steps, isAborted} of cases) {
		it(name, () => {
			const cancellation = new Cancellation();
			const signals = new Set<AbortSignal>();
			for (const step of steps) {
				if (step === 'read') {
					signals.add(cancellation.signal);
				} else {
					cancellation.cancel();
				}
			}

			assert.deepEqual([...signals].map(({aborted}) => aborted), [isAborted]);
			assert.equal(cancellation.isCancelled, isAborted);
		});
	}
});
