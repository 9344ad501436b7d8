import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {decodeSuspicion, SUSPICION_PREFIX, SuspicionWriter} from '@pomelopick/calls.live';
import type {SuspicionRecord} from '@pomelopick/calls.live';
import type {RequestFingerprint, ServerDeath} from '@pomelopick/calls.quarantine';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';
import {startFixture, until} from './fixture.js';
import type {Fixture} from './fixture.js';

const fingerprint = 'a'.repeat(64) as RequestFingerprint;
const death = (sequence: number): ServerDeath => ({
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
			await writer.shareDeath({death: death(1)});
			platform.faults.outage = false;
		},
	},
	{
		name: 'its lease was taken away early', async act({platform}, writer) {
			await writer.shareDeath({death: death(1)});
			const [held] = platform.keyValues.read({key: SUSPICION_PREFIX, recurse: true});
			platform.keyValues.destroySession(held!.session!);
			writer.restore(held!.key);
		},
	},
];

describe('the records of requests that crash servers', () => {
	const play = async (act: (fixture: Fixture, writer: SuspicionWriter) => Promise<void>): Promise<void> => {
		const fixture = await startFixture();
		const writer = new SuspicionWriter({
			store: fixture.store, instance: 'a' as InstanceId, firstSequence: 100, onFailure() {/* Tried again. */}, sleep: async () => sleep(20), now: () => performance.now(),
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
			await writer.shareDeath({death: death(1)});
			await writer.shareDeath({death: death(2)});
			await writer.shareCleared(fingerprint);
			fixture.platform.faults.outage = false;
			await until(() => readRecords(fixture).length === 3);
			assert.deepEqual(readRecords(fixture).map(({kind}) => kind), ['death', 'death', 'cleared']);
		});
	});

	it('are not written again when another instance\'s key goes', async () => {
		await play(async (fixture, writer) => {
			writer.restore(`${SUSPICION_PREFIX}b/1`);
			await sleep(100);
			assert.deepEqual(readRecords(fixture), []);
		});
	});
});
