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
const death = (sequence: number): ServerCrash => ({
	origin: 'a' as InstanceId, sequence, server: 'one' as BackendServerName, fingerprints: [fingerprint], atMs: 0,
});

/** Records in the store, by the order of their writes. */
function readRecords({platform}: Fixture): readonly SuspicionRecord[] {
	return platform.keyValues.read({key: SUSPICION_PREFIX, recurse: true})
		.toSorted((left, right) => left.modifyIndex - right.modifyIndex)
		.map(({value}) => decodeSuspicion(value).unsafeCoerce());
}

const troubles: ReadonlyArray<{name: string; act: (fixture: Fixture, writer: SuspicionWriter) => Promise<void>}> = [
	{
		name: 'the store was away when it was to be written', async act({platform}, writer) {
			platform.faults.outage = true;
			await writer.shareCrash({death: death(1), convicted: []});
			platform.faults.outage = false;
		},
	},
	{
		name: 'its lease was taken away early', async act({platform}, writer) {
			await writer.shareCrash({death: death(1), convicted: []});
			const [held] = platform.keyValues.read({key: SUSPICION_PREFIX, recurse: true});
			platform.keyValues.destroySession(held!.session!);
			writer.restore(held!.key);
		},
	},
];

describe('the records of requests that crash servers', () => {
	const toldDirectly: SuspicionRecord[] = [];
	const play = async (act: (fixture: Fixture, writer: SuspicionWriter) => Promise<void>): Promise<void> => {
		const fixture = await startFixture();
		toldDirectly.length = 0;
		const writer = new SuspicionWriter({
			store: fixture.store, instance: 'a' as InstanceId, firstSequence: 100, onFailure() {/* Tried again. */}, tellDirectly(listRecords) {
				toldDirectly.push(...listRecords());
			}, sleep: async milliseconds => sleep(milliseconds), now: () => performance.now(),
		});
		try {
			await act(fixture, writer);
		} finally {
			writer.stop();
			await fixture.stop();
		}
	};

	for (const {name, act} of troubles) {
		it(`come to the store though ${name}`, async () => {
			await play(async (fixture, writer) => {
				await act(fixture, writer);
				await until(() => readRecords(fixture).some(({kind}) => kind === 'death'));
			});
		});
	}

	it('come in their order after the store was away', async () => {
		await play(async (fixture, writer) => {
			fixture.platform.faults.outage = true;
			await writer.shareCrash({death: death(1), convicted: []});
			await writer.shareCrash({death: death(2), convicted: []});
			await writer.shareCleared({fingerprint, isUrgent: false});
			fixture.platform.faults.outage = false;
			await until(() => readRecords(fixture).length === 3);
			assert.deepEqual(readRecords(fixture).map(({kind}) => kind), ['death', 'death', 'cleared']);
		});
	});

	const stores: ReadonlyArray<{name: string; outage?: boolean; slownessMs?: number; told: number}> = [
		{name: 'not told directly where the store takes them', told: 0},
		{name: 'told directly where the store is away', outage: true, told: 1},
		{name: 'told directly where the store is slow', slownessMs: 600, told: 1},
	];
	for (const {name, outage = false, slownessMs = 0, told} of stores) {
		it(`are ${name}`, async () => {
			await play(async ({platform}, writer) => {
				Object.assign(platform.faults, {outage, slownessMs});
				await writer.shareCrash({death: death(1), convicted: []});
				assert.equal(toldDirectly.length, told);
			});
		});
	}

	it('are not written again when another instance\'s key goes', async () => {
		await play(async (fixture, writer) => {
			writer.restore(`${SUSPICION_PREFIX}b/1`);
			await sleep(100);
			assert.deepEqual(readRecords(fixture), []);
		});
	});
});
