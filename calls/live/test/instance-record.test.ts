/** Guards against records that instances of the build before refuse, and against malformed capacities that hide an instance. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decodeInstance, encodeInstance} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';

const KEY = 'pomelopick/instances/a';
const record: InstanceRecord = {
	id: 'a' as InstanceId, failureDomain: 'north-a' as FailureDomainName, region: 'north' as RegionName, callers: {address: '10.0.0.1', port: 80}, peers: {address: '10.0.0.1', port: 81}, maxHeaders: 1300,
};
const capacity = {cores: 0.19, linkMbps: 7, memoryMb: 202};

/** Reads a record by the rules of the build before: it takes the fields that it knows and ignores others. */
function decodeAsBefore(bytes: Uint8Array): unknown {
	const {id, failureDomain, region, callers, peers, maxHeaders} = JSON.parse(new TextDecoder().decode(bytes)) as InstanceRecord;
	assert.ok([id, failureDomain, region].every(text => typeof text === 'string'));
	assert.ok([callers, peers!].every(({address, port}) => typeof address === 'string' && Number.isInteger(port)));
	return {
		id, failureDomain, region, callers, peers, maxHeaders,
	};
}

const malformed: readonly unknown[] = [null, 5, [], {}, {cores: 1}, {cores: '1', linkMbps: 7}, {cores: -1, linkMbps: 7}, {cores: 0, linkMbps: 7}, {cores: 1, linkMbps: null}];

function decode(value: unknown): InstanceRecord {
	return decodeInstance({key: KEY, bytes: new TextEncoder().encode(JSON.stringify(value))}).unsafeCoerce();
}

describe('the record of an instance', () => {
	it('is read by the build before with a capacity and while it is full', () => {
		assert.deepEqual(decodeAsBefore(encodeInstance({...record, capacity, isFull: true})), record);
	});

	it('is the same as that of the build before without a capacity', () => {
		assert.equal(new TextDecoder().decode(encodeInstance({...record, capacity: undefined})), JSON.stringify(record));
	});

	it('states the capacity and that the instance is full', () => {
		const {capacity: found, isFull} = decode({...record, capacity, isFull: true});
		assert.deepEqual([found, isFull], [capacity, true]);
	});

	it('is of use without a capacity, as older builds write it', () => {
		const {id, capacity: found, isFull} = decode(record);
		assert.deepEqual([id, found, isFull], ['a', undefined, undefined]);
	});

	for (const value of malformed) {
		it(`is of use with the malformed capacity ${JSON.stringify(value)}`, () => {
			const {id, capacity: found, isFull} = decode({...record, capacity: value, isFull: 'yes'});
			assert.deepEqual([id, found, isFull], ['a', undefined, undefined]);
		});
	}

	it('states the capacity without a malformed memory', () => {
		assert.deepEqual(decode({...record, capacity: {...capacity, memoryMb: 'much'}}).capacity, {cores: 0.19, linkMbps: 7});
	});
});
