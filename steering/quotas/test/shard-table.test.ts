/** Which records an instance writes for the shards in its view. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {InstanceId} from '@pomelopick/core.types';
import {shards, ShardTable} from '@pomelopick/steering.quotas';

const self = {id: 'a' as InstanceId, process: 1};
const instances = ['a', 'b', 'c', 'd', 'e'].map(id => ({id: id as InstanceId}));
const START_MS = 100_000;
const RENEWAL_MS = 1600;
/** Time at which the shards have been owned for a while, in milliseconds. */
const NOW_MS = START_MS + (10 * RENEWAL_MS);

/** Creates the table of a registered instance that has owned all shards for a while. */
function createOwner(): ShardTable {
	const table = new ShardTable({self});
	table.confirmRegistration({sentAtMs: START_MS, nowMs: START_MS});
	table.recordRead(START_MS);
	for (const shard of shards) {
		const {record, registration} = table.ownerships[shard]!.prepareClaim();
		table.ownerships[shard]!.applyWrite({
			record, index: shard + 1, registration, nowMs: START_MS,
		});
		table.prepareWrite({shard, instances, nowMs: START_MS});
	}

	for (let nowMs = START_MS; nowMs <= NOW_MS; nowMs += RENEWAL_MS) {
		table.confirmRegistration({sentAtMs: nowMs, nowMs});
	}

	return table;
}

describe('an owner of several shards', () => {
	// Guards against an instance that claims again what it has just handed over, before the others know: it kept several shards.
	it('hands one over to instances that have none, and leaves it to them', () => {
		const table = createOwner();
		const handedOver = table.chooseHandover({instances, nowMs: NOW_MS})!;
		const ownership = table.ownerships[handedOver]!;
		const {record, registration} = ownership.release()!;
		ownership.applyWrite({
			record, index: 10, registration, nowMs: NOW_MS,
		});
		assert.equal(ownership.isHeld, false);
		for (const afterMs of [0, 500, 1000, 3900]) {
			assert.equal(table.prepareWrite({shard: handedOver, instances, nowMs: NOW_MS + afterMs}), undefined);
		}
	});

	it('keeps them while it is the only instance', () => {
		assert.equal(createOwner().chooseHandover({instances: [self], nowMs: NOW_MS}), undefined);
	});

	// Guards against a shard that is released again and again beside instances of a build without quotas.
	it('keeps them when nobody else took the one that it handed over', () => {
		const table = createOwner();
		const handedOver = table.chooseHandover({instances, nowMs: NOW_MS})!;
		assert.equal(table.chooseHandover({instances, nowMs: NOW_MS + 10_000}), undefined);
		assert.equal(table.ownerships[handedOver]!.isHeld, true);
	});
});
