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

const broken: ReadonlyArray<{readonly name: string; readonly text: string}> = [
	{name: 'no JSON', text: '{"epoch":'},
	{name: 'no object', text: 'null'},
	{name: 'no grants', text: '{"epoch":1,"configurationVersion":1}'},
	{name: 'a grant without the part of the others', text: JSON.stringify({...ledger, grants: [{...ledger.grants[0], othersCallsPerSecond: undefined}]})},
	{name: 'an epoch that is no number', text: JSON.stringify({...ledger, epoch: '2'})},
];

describe('the stored form of a ledger', () => {
	it('is read back as it was', () => {
		assert.deepEqual(decodeLedger(encodeLedger(ledger)).unsafeCoerce(), ledger);
	});

	for (const {name, text} of broken) {
		it(`is not read with ${name}`, () => {
			assert.ok(decodeLedger(text).isLeft());
		});
	}
});
