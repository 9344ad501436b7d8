import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {readSuspicionMessage, SuspicionSender} from '@pomelopick/calls.live';
import type {InstanceRecord, SuspicionRecord} from '@pomelopick/calls.live';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

const MOST_SENT = 16;

const death: SuspicionRecord = {
	kind: 'death', origin: 'instance-0' as InstanceId, sequence: 1, server: 'one' as BackendServerName, startedAtMs: 7, fingerprints: ['a'.repeat(64) as RequestFingerprint],
};

/** Instances that tell each other without a network; the port of an instance is its number. */
function createFleet({size, isDown}: {readonly size: number; readonly isDown: (number: number) => boolean}) {
	const heard = new Map<number, number>();
	const sent = new Map<number, number>();
	const records = Array.from({length: size}, (_, number) => ({id: `instance-${number}`, peers: {address: '127.0.0.1', port: number}}) as unknown as InstanceRecord);
	const tellers: SuspicionSender[] = records.map(({id}, number) => new SuspicionSender({
		self: id,
		instances: () => records,
		async send({endpoint: {port}, message}) {
			if (isDown(port)) {
				return Left({code: 'suspicions-not-sent', message: 'down'});
			}

			sent.set(number, (sent.get(number) ?? 0) + 1);
			await tellers[port]!.receive(message);
			return Right(undefined);
		},
		onRecord() {
			heard.set(number, (heard.get(number) ?? 0) + 1);
		},
		async sleep() {/* Time stands still. */},
		onFailure() {/* The next of its part is told. */},
	}));
	return {tellers, heard, sent};
}

const fleets: ReadonlyArray<{name: string; size: number; isDown?: (number: number) => boolean}> = [
	{name: 'one instance', size: 1},
	{name: 'eight instances', size: 8},
	{name: 'as many as one sends to, and one more', size: MOST_SENT + 2},
	{name: 'hundreds of instances', size: 920},
	{name: 'hundreds of instances, every third of which is down', size: 920, isDown: number => number % 3 === 1},
];

describe('what instances tell each other of crashing requests without the store', () => {
	for (const {name, size, isDown = () => false} of fleets) {
		it(`reaches each of ${name} once, and none sends to many`, async () => {
			const {tellers, heard, sent} = createFleet({size, isDown});
			await tellers[0]!.broadcast(() => [death]);
			const expected = Array.from({length: size}, (_, number) => number).filter(number => number !== 0 && !isDown(number));
			assert.deepEqual([...heard.keys()].toSorted((a, b) => a - b), expected);
			assert.deepEqual(new Set(heard.values()), new Set(expected.length === 0 ? [] : [1]));
			assert.ok(Math.max(0, ...sent.values()) <= MOST_SENT, JSON.stringify([...sent.values()]));
		});
	}

	it('goes together into one message while another is under way', async () => {
		const {tellers, heard} = createFleet({size: 2, isDown: () => false});
		const tell = async () => tellers[0]!.broadcast(() => [death]);
		await Promise.all([tell(), tell(), tell()]);
		assert.equal(heard.get(1), 2);
	});

	const messages: ReadonlyArray<{name: string; message: unknown; isRead: boolean}> = [
		{name: 'a death', message: {records: [death], passOn: ['b']}, isRead: true},
		{name: 'nothing', message: undefined, isRead: false},
		{name: 'no list of instances', message: {records: [death]}, isRead: false},
		{name: 'a fingerprint of another form', message: {records: [{...death, fingerprints: ['x']}], passOn: []}, isRead: false},
		{name: 'a start that is no number', message: {records: [{...death, startedAtMs: 'x'}], passOn: []}, isRead: false},
		{name: 'a record of another kind', message: {records: [{...death, kind: 'x'}], passOn: []}, isRead: false},
	];
	for (const {name, message, isRead} of messages) {
		it(`${isRead ? 'is read from' : 'is refused with'} ${name}`, () => {
			assert.equal(readSuspicionMessage(message).isRight(), isRead);
		});
	}
});
