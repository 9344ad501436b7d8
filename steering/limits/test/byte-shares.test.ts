/** Guards against one slow reader that takes all bytes of an instance. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import * as fc from 'fast-check';
import {maxReadAheadBytes} from '@pomelopick/steering.limits';

const MAX_BYTES = 28_000_000;
const PIECE = 65_536;

describe('maxReadAheadBytes', () => {
	it('keeps responses within a quarter of the bytes, shares them evenly, and leaves the most to a single one', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 300}), fc.integer({min: 0, max: MAX_BYTES}), (responses, bodyBytes) => {
			const held = Array.from({length: responses}, () => 0);
			let responseBytes = 0;
			for (let hasGrown = true; hasGrown;) {
				hasGrown = false;
				for (let index = 0; index < responses; index += 1) {
					if (held[index]! < maxReadAheadBytes({maxBytes: MAX_BYTES, heldBytes: bodyBytes + responseBytes, responseBytes})) {
						held[index]! += PIECE;
						responseBytes += PIECE;
						hasGrown = true;
					}
				}
			}

			assert.ok(responseBytes <= (MAX_BYTES / 4) + PIECE, `${responseBytes}`);
			assert.ok(responseBytes + bodyBytes <= MAX_BYTES + PIECE, `${responseBytes} and ${bodyBytes}`);
			assert.ok(Math.max(...held) - Math.min(...held) <= 2 * PIECE, `${Math.max(...held)} and ${Math.min(...held)}`);
		}), {seed: 1});
	});
});
