/** Guards against statements of another instance that are read as something else than it wrote. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	decodeForwarded, encodeForwarded, forwardedHeaders, omitForwarded,
} from '@pomelopick/calls.relay';
import type {OrganisationName, ServiceName} from '@pomelopick/core.types';

const organisations: ReadonlyArray<string | undefined> = [undefined, '', 'first', 'two words', '100%', 'a,b', 'ünïcode', '__proto__', 'x'.repeat(300)];

function encode(organisation: string | undefined): Record<string, string> {
	const list = encodeForwarded({
		service: 'led ger' as ServiceName, configurationVersion: 7, caller: '10.0.0.1', maxServers: 2, organisation: organisation as OrganisationName | undefined,
	});
	return Object.fromEntries(Array.from({length: list.length / 2}, (_, index) => [list[2 * index]!, list[(2 * index) + 1]!]));
}

describe('a forwarded request', () => {
	for (const organisation of organisations) {
		it(`states the organisation ${JSON.stringify(organisation?.slice(0, 20))}`, () => {
			const headers = encode(organisation);
			assert.equal(forwardedHeaders.organisation in headers, organisation !== undefined);
			assert.match(headers[forwardedHeaders.organisation] ?? '', /^[\u0021-\u007E]*$/u);
			assert.equal(decodeForwarded(headers).unsafeCoerce().organisation, organisation);
		});
	}

	const malformed: ReadonlyArray<{name: string; value: string}> = [
		{name: 'a broken escape', value: '%'}, {name: 'bytes that are no character', value: '%FF'}, {name: 'a broken pair', value: '%ED%A0%80'},
	];
	for (const {name, value} of malformed) {
		it(`is refused with ${name} in place of an organisation`, () => {
			const error = decodeForwarded({...encode('first'), [forwardedHeaders.organisation]: value}).swap().unsafeCoerce();
			assert.equal(error.code, 'malformed-forwarded-request');
			assert.ok(error.message.startsWith(forwardedHeaders.organisation));
		});
	}

	it('names no organisation that is known when the header is repeated', () => {
		const {organisation} = decodeForwarded({...encode('first'), [forwardedHeaders.organisation]: 'first, second'}).unsafeCoerce();
		assert.equal(organisation, 'first, second');
	});

	it('passes on none of the headers that state it', () => {
		assert.deepEqual(omitForwarded({...encode('first'), accept: 'a'}), {accept: 'a'});
	});
});
