import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decodeLedger, encodeLedger} from '@pomelopick/steering.shifts';
import type {ShiftLedger} from '@pomelopick/steering.shifts';
import type {InstanceId} from '@pomelopick/core.types';

const ledger: ShiftLedger = {
	epoch: 2,
	configurationVersion: 7,
	grants: [{
		holder: 'entry-1' as InstanceId, callsPerSecond: 3, othersCallsPerSecond: 0, durationMs: 20_000, epoch: 2,
	}],
};

const malformed: ReadonlyArray<{readonly name: string; readonly text: string}> = [
	{name: 'text that is not JSON', text: '{"epoch":'},
	{name: 'a value that is not an object', text: 'null'},
	{name: 'a ledger without grants', text: '{"epoch":1,"configurationVersion":1}'},
	{name: 'a grant without the calls of the others', text: JSON.stringify({...ledger, grants: [{...ledger.grants[0], othersCallsPerSecond: undefined}]})},
	{name: 'an epoch that is not a number', text: JSON.stringify({...ledger, epoch: '2'})},
];

describe('decodeLedger', () => {
	it('returns the ledger that was encoded', () => {
		assert.deepEqual(decodeLedger(encodeLedger(ledger)).unsafeCoerce(), ledger);
	});

	for (const {name, text} of malformed) {
		it(`rejects ${name}`, () => {
			assert.ok(decodeLedger(text).isLeft());
		});
	}
});
