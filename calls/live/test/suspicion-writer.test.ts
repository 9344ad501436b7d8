import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {decodeSuspicion, SUSPICION_PREFIX, SuspicionWriter} from '@pomelopick/calls.live';
import type {SuspicionRecord} from '@pomelopick/calls.live';
import type {RequestFingerprint, ServerCrash} from '@pomelopick/calls.quarantine';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {startFixture, until} from './fixture.js';
import type {Fixture} from './fixture.js';

const fingerprint = 'a'.repeat(64) as RequestFingerprint;
const crash = (sequence: number): ServerCrash => ({
	origin: 'a' as InstanceId, sequence, server: 'one' as BackendServerName, fingerprints: [fingerprint], atMs: 0,
});

/** Records in the store, in the order of their writes. */
function readRecords({platform}: Fixture): readonly SuspicionRecord[] {
	return platform.keyValues.read({key: SUSPICION_PREFIX, recurse: true})
		.toSorted((left, right) => left.modifyIndex - right.modifyIndex)
		.map(({value}) => decodeSuspicion(value).unsafeCoerce());
}

const faults: ReadonlyArray<{name: string; act: (fixture: Fixture, writer: SuspicionWriter) => Promise<void>}> = [
	{
		name: 'the store was unavailable at the first attempt', async act({platform}, writer) {
			platform.faults.outage = true;
			await writer.shareCrash({crash: crash(1), quarantined: []});
			platform.faults.outage = false;
		},
	},
	{
		name: 'their lease was removed early', async act({platform}, writer) {
			await writer.shareCrash({crash: crash(1), quarantined: []});
			const [held] = platform.keyValues.read({key: SUSPICION_PREFIX, recurse: true});
			platform.keyValues.destroySession(held!.session!);
			writer.restore(held!.key);
		},
	},
];

describe('SuspicionWriter', () => {
	const sentDirectly: SuspicionRecord[] = [];
	const withWriter = async (act: (fixture: Fixture, writer: SuspicionWriter) => Promise<void>): Promise<void> => {
		const fixture = await startFixture();
		sentDirectly.length = 0;
		const writer = new SuspicionWriter({
			store: fixture.store, instance: 'a' as InstanceId, firstSequence: 100, onFailure() {/* The writer retries. */}, sendDirectly(listRecords) {
				sentDirectly.push(...listRecords());
			}, sleep: async milliseconds => sleep(milliseconds), now: () => performance.now(),
		});
		try {
			await act(fixture, writer);
		} finally {
			writer.stop();
			await fixture.stop();
		}
	};

	for (const {name, act} of faults) {
		it(`writes records to the store even if ${name}`, async () => {
			await withWriter(async (fixture, writer) => {
				await act(fixture, writer);
				await until(() => readRecords(fixture).some(({kind}) => kind === 'death'));
			});
		});
	}

	it('writes records in order after the store was unavailable', async () => {
		await withWriter(async (fixture, writer) => {
			fixture.platform.faults.outage = true;
			await writer.shareCrash({crash: crash(1), quarantined: []});
			await writer.shareCrash({crash: crash(2), quarantined: []});
			await writer.shareAnswer({fingerprint, isUrgent: false});
			fixture.platform.faults.outage = false;
			await until(() => readRecords(fixture).length === 3);
			assert.deepEqual(readRecords(fixture).map(({kind}) => kind), ['death', 'death', 'cleared']);
		});
	});

	const stores: ReadonlyArray<{name: string; outage?: boolean; slownessMs?: number; expected: number}> = [
		{name: 'no records directly while the store accepts them', expected: 0},
		{name: 'records directly while the store is unavailable', outage: true, expected: 1},
		{name: 'records directly while the store is slow', slownessMs: 600, expected: 1},
	];
	for (const {name, outage = false, slownessMs = 0, expected} of stores) {
		it(`sends ${name}`, async () => {
			await withWriter(async ({platform}, writer) => {
				Object.assign(platform.faults, {outage, slownessMs});
				await writer.shareCrash({crash: crash(1), quarantined: []});
				assert.equal(sentDirectly.length, expected);
			});
		});
	}

	it('never overwrites records of crashes by records of answers', async () => {
		await withWriter(async (fixture, writer) => {
			await writer.shareCrash({crash: crash(1), quarantined: []});
			for (let count = 0; count < 70; count += 1) {
				await writer.shareAnswer({fingerprint, isUrgent: false});
			}

			assert.deepEqual(readRecords(fixture).filter(({kind}) => kind === 'death').length, 1);
		});
	});

	it('does not write again when the key of another instance is removed', async () => {
		await withWriter(async (fixture, writer) => {
			writer.restore(`${SUSPICION_PREFIX}b/1`);
			await sleep(100);
			assert.deepEqual(readRecords(fixture), []);
		});
	});
});
