import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {readPeerBody} from '@pomelopick/calls.live';

const text = '{"organisation":"Käfer"}';
const bytes = Buffer.from(text);
/** Between the two bytes of a letter. */
const middle = bytes.indexOf('ä') + 1;

describe('readPeerBody', () => {
	for (const {what, chunks, expected} of [
		{what: 'a body of one chunk', chunks: [bytes], expected: text},
		{what: 'a letter that is divided between two chunks', chunks: [bytes.subarray(0, middle), bytes.subarray(middle)], expected: text},
		{what: 'an empty body', chunks: [], expected: ''},
		{what: 'a body after a byte order mark', chunks: [Buffer.from(`\u{FEFF}${text}`)], expected: text},
	]) {
		it(`reads ${what}`, async () => {
			const stream = new PassThrough();
			const reading = readPeerBody(stream as unknown as IncomingMessage);
			for (const chunk of chunks) {
				stream.write(chunk);
			}

			stream.end();
			assert.equal(await reading, expected);
		});
	}

	// A handler that never settles would keep its request and what it holds for ever.
	for (const {what, error, isEarly} of [
		{what: 'fails', error: new Error('reset'), isEarly: false},
		{what: 'closes before the end', error: undefined, isEarly: false},
		{what: 'has closed before the body is read', error: undefined, isEarly: true},
	]) {
		it(`rejects when the connection ${what}`, async () => {
			const stream = new PassThrough();
			stream.write(bytes.subarray(0, middle));
			if (isEarly) {
				stream.destroy();
			}

			const reading = readPeerBody(stream as unknown as IncomingMessage);
			stream.destroy(error);
			await assert.rejects(reading, error ?? /closed before the end/u);
		});
	}
});
