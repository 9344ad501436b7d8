import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {PeerBroadcast, readBroadcastMessage, readSuspicion} from '@pomelopick/calls.live';
import type {InstanceRecord, SuspicionRecord} from '@pomelopick/calls.live';
import type {RequestFingerprint} from '@pomelopick/calls.quarantine';
import type {BackendServerName, InstanceId} from '@pomelopick/core.types';

const MAX_SENT = 16;

const crashRecord: SuspicionRecord = {
	kind: 'death', origin: 'instance-0' as InstanceId, sequence: 1, server: 'one' as BackendServerName, startedAtMs: 7, fingerprints: ['a'.repeat(64) as RequestFingerprint],
};

/** Instances that send to each other without a network; the port of an instance is its number. */
function createFleet({size, isDown}: {readonly size: number; readonly isDown: (number: number) => boolean}) {
	const received = new Map<number, number>();
	const sent = new Map<number, number>();
	const records = Array.from({length: size}, (_, number) => ({id: `instance-${number}`, peers: {address: '127.0.0.1', port: number}}) as unknown as InstanceRecord);
	const senders: Array<PeerBroadcast<SuspicionRecord>> = records.map(({id}, number) => new PeerBroadcast<SuspicionRecord>({
		self: id,
		instances: () => records,
		async send({endpoint: {port}, message}) {
			if (isDown(port)) {
				return Left({code: 'suspicions-not-sent', message: 'down'});
			}

			sent.set(number, (sent.get(number) ?? 0) + 1);
			await senders[port]!.receive(message);
			return Right(undefined);
		},
		onRecord() {
			received.set(number, (received.get(number) ?? 0) + 1);
		},
		async sleep() {/* Pauses take no time. */},
		onFailure() {/* The next instance of the branch gets the message. */},
	}));
	return {senders, received, sent};
}

const fleets: ReadonlyArray<{name: string; size: number; isDown?: (number: number) => boolean}> = [
	{name: 'one instance', size: 1},
	{name: 'eight instances', size: 8},
	{name: 'one more instance than one sends to', size: MAX_SENT + 2},
	{name: 'hundreds of instances', size: 920},
	{name: 'hundreds of instances, every third of which is down', size: 920, isDown: number => number % 3 === 1},
];

describe('a report of crashing requests without the store', () => {
	for (const {name, size, isDown = () => false} of fleets) {
		it(`reaches each of ${name} once, and none sends to many`, async () => {
			const {senders, received, sent} = createFleet({size, isDown});
			await senders[0]!.broadcast(() => [crashRecord]);
			const expected = Array.from({length: size}, (_, number) => number).filter(number => number !== 0 && !isDown(number));
			assert.deepEqual([...received.keys()].toSorted((a, b) => a - b), expected);
			assert.deepEqual(new Set(received.values()), new Set(expected.length === 0 ? [] : [1]));
			assert.ok(Math.max(0, ...sent.values()) <= MAX_SENT, JSON.stringify([...sent.values()]));
		});
	}

	it('is combined with others into one message while a broadcast is in progress', async () => {
		const {senders, received} = createFleet({size: 2, isDown: () => false});
		const broadcast = async () => senders[0]!.broadcast(() => [crashRecord]);
		await Promise.all([broadcast(), broadcast(), broadcast()]);
		assert.equal(received.get(1), 2);
	});

	const messages: ReadonlyArray<{name: string; message: unknown; isRead: boolean}> = [
		{name: 'a crash record', message: {records: [crashRecord], passOn: ['b']}, isRead: true},
		{name: 'no message', message: undefined, isRead: false},
		{name: 'a message without a list of instances', message: {records: [crashRecord]}, isRead: false},
		{name: 'a malformed fingerprint', message: {records: [{...crashRecord, fingerprints: ['x']}], passOn: []}, isRead: false},
		{name: 'a start time that is not a number', message: {records: [{...crashRecord, startedAtMs: 'x'}], passOn: []}, isRead: false},
		{name: 'a record of an unknown kind', message: {records: [{...crashRecord, kind: 'x'}], passOn: []}, isRead: false},
	];
	for (const {name, message, isRead} of messages) {
		it(`${isRead ? 'is read from' : 'is not read from'} ${name}`, () => {
			assert.equal(readBroadcastMessage({subject: 'suspicions', value: message, readRecord: readSuspicion}).isRight(), isRead);
		});
	}
});
