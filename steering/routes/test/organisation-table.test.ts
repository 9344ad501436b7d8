/** Guards against keys that are taken for those of another organisation, and against credentials that are read in part. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OrganisationTable, readKeyDigest} from '@pomelopick/steering.routes';
import type {Organisation, OrganisationKey, OrganisationName} from '@pomelopick/core.types';

const LONG_KEY = 'k'.repeat(8192);

function organisation(name: string, ...keys: readonly string[]): Organisation {
	return {
		name: name as OrganisationName, keys: keys as OrganisationKey[], priority: undefined, quota: undefined, homeRegions: [],
	};
}

const table = new OrganisationTable([
	organisation('first', 'key-1', 'key-2', 'key-2'), organisation('second', 'key-10', LONG_KEY), organisation('__proto__', 'constructor', 'a,b=/+~'), organisation('without-keys'),
]);

const credentials: ReadonlyArray<{name: string; values: readonly string[]; expected: string | undefined}> = [
	{name: 'a key', values: ['Bearer key-1'], expected: 'first'},
	{name: 'a key that is listed twice', values: ['Bearer key-2'], expected: 'first'},
	{name: 'a key that begins with another one', values: ['Bearer key-10'], expected: 'second'},
	{name: 'the scheme in lower case', values: ['bearer key-1'], expected: 'first'},
	{name: 'the scheme in mixed case', values: ['bEARER key-1'], expected: 'first'},
	{name: 'several spaces', values: ['Bearer   key-1  '], expected: 'first'},
	{name: 'a key of 8 KB', values: [`Bearer ${LONG_KEY}`], expected: 'second'},
	{name: 'a key that is the name of an inherited property', values: ['Bearer constructor'], expected: '__proto__'},
	{name: 'a key with a comma', values: ['Bearer a,b=/+~'], expected: '__proto__'},
	{name: 'the begin of a key', values: ['Bearer key-'], expected: undefined},
	{name: 'a key in another case', values: ['Bearer KEY-1'], expected: undefined},
	{name: 'a key of 8 KB with one more character', values: [`Bearer ${LONG_KEY}k`], expected: undefined},
	{name: 'no key', values: ['Bearer'], expected: undefined},
	{name: 'an empty key', values: ['Bearer  '], expected: undefined},
	{name: 'an empty value', values: [''], expected: undefined},
	{name: 'a key without a scheme', values: ['key-1'], expected: undefined},
	{name: 'another scheme', values: ['Basic key-1'], expected: undefined},
	{name: 'a scheme that begins with the name', values: ['BearerX key-1'], expected: undefined},
	{name: 'a scheme that ends with the name', values: ['X-Bearer key-1'], expected: undefined},
	{name: 'a tab in place of the space', values: ['Bearer\tkey-1'], expected: undefined},
	{name: 'two keys in one header', values: ['Bearer key-1 key-1'], expected: undefined},
	{name: 'two headers joined to one', values: ['Bearer key-1, Bearer key-1'], expected: undefined},
	{name: 'two equal headers', values: ['Bearer key-1', 'Bearer key-1'], expected: undefined},
	{name: 'two headers, of which one has no key', values: ['Bearer key-1', ''], expected: undefined},
	{name: 'no header', values: [], expected: undefined},
];

describe('the organisation of credentials', () => {
	for (const {name, values, expected} of credentials) {
		it(`is ${expected ?? 'unknown'} for ${name}`, () => {
			const digest = readKeyDigest(values);
			assert.equal(digest === undefined ? undefined : table.findByDigest(digest)?.name, expected);
		});
	}

	it('is not found by a key in place of its digest', () => {
		assert.equal(table.findByDigest('key-1'), undefined);
	});
});

const names: ReadonlyArray<{name: string; isKnown: boolean}> = [
	{name: 'first', isKnown: true},
	{name: 'without-keys', isKnown: true},
	{name: '__proto__', isKnown: true},
	{name: 'First', isKnown: false},
	{name: 'constructor', isKnown: false},
	{name: '', isKnown: false},
];

describe('an organisation', () => {
	for (const {name, isKnown} of names) {
		it(`named ${JSON.stringify(name)} is ${isKnown ? 'found' : 'unknown'}`, () => {
			assert.equal(table.findByName(name as OrganisationName)?.name, isKnown ? name : undefined);
		});
	}
});
