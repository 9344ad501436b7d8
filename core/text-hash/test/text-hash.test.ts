import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {hashText} from '@pomelopick/core.text-hash';

/** Values of XXH64 with seed 0, from the test vectors of its specification and from its reference tool. */
const cases: ReadonlyArray<{name: string; text: string; expected: bigint}> = [
	{name: 'an empty text', text: '', expected: 0xEF_46_DB_37_51_D8_E9_99n},
	{name: 'one letter', text: 'a', expected: 0xD2_4E_C4_F1_A9_8C_6E_5Bn},
	{name: 'three letters', text: 'abc', expected: 0x44_BC_2C_F5_AD_77_09_99n},
];

describe('hashText', () => {
	for (const {name, text, expected} of cases) {
		it(`gives the known hash of ${name}`, () => {
			assert.equal(hashText(text), expected);
		});
	}
});
