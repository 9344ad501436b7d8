import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FairQueue} from '@pomelopick/steering.queue';

function fill({queue, caller, count}: {readonly queue: FairQueue<string>; readonly caller: string; readonly count: number}): string[] {
	return Array.from({length: count}, (_, index) => queue.add({caller, item: `${caller}-${index}`, deadlineMs: 1000 + index}).swap().orDefault('queue-full')).filter(Boolean);
}

function serveAll(queue: FairQueue<string>): string[] {
	const served: string[] = [];
	while (queue.serveNext(item => served.push(item) > 0)) {
		// Serves until the queue is empty.
	}

	return served;
}

describe('FairQueue', () => {
	it('serves a caller with one call after one call of a caller with many', () => {
		const queue = new FairQueue<string>({maxItems: 20, maxPerCaller: 10});
		fill({queue, caller: 'busy', count: 8});
		fill({queue, caller: 'idle', count: 1});
		assert.deepEqual(serveAll(queue).slice(0, 3), ['busy-0', 'idle-0', 'busy-1']);
	});

	const cases = [
		{
			name: 'limits the items of one caller', most: 20, mostPerCaller: 2, expected: 'caller-share-exceeded',
		},
		{
			name: 'limits the items of all callers together', most: 2, mostPerCaller: 5, expected: 'queue-full',
		},
	];
	for (const {name, most, mostPerCaller, expected} of cases) {
		it(name, () => {
			const queue = new FairQueue<string>({maxItems: most, maxPerCaller: mostPerCaller});
			const added = Array.from({length: 3}, (_, index) => queue.add({caller: 'one', item: `${index}`, deadlineMs: 10}));
			assert.deepEqual(added.map(result => result.isRight()), [true, true, false]);
			assert.equal(added[2]!.extract(), expected);
		});
	}

	it('removes expired items, and items on request', () => {
		const queue = new FairQueue<string>({maxItems: 20, maxPerCaller: 10});
		fill({queue, caller: 'one', count: 3});
		assert.deepEqual(queue.takeExpired(1001), ['one-0', 'one-1']);
		assert.ok(queue.remove({caller: 'one', item: 'one-2'}));
		assert.equal(queue.length, 0);
		assert.deepEqual(serveAll(queue), []);
	});
});
