/** The bound of a quota, and how much of it is used, under any order of failures. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	anEvent, apply, findOwner, INSTANCES, playAll,
} from './fleet-events.js';
import type {EventKind} from './fleet-events.js';
import {ModelledFleet} from './modelled-fleet.js';

/** Window of the grants whose permits may be used within one window of 5 s. */
const GRANT_WINDOW_MS = 5500;
const SETTLE_MS = 20_000;
const SUSPENSION_MS = 10_000;

function bound({requestsPerSecond, burst}: {readonly requestsPerSecond: number; readonly burst: number}): number {
	return (((requestsPerSecond * 5) + burst) * 1.1) + 20;
}

const RUNS = Number(process.env.POMELOPICK_RUNS ?? 150);

// Guards against grants beyond the bound: by owners that together use more than the whole of a shard, or by buckets that are filled twice.
test('no order of failures exceeds the bound of a quota', () => {
	fc.assert(fc.property(
		fc.constantFrom({requestsPerSecond: 331, burst: 331}, {requestsPerSecond: 20, burst: 0}, {requestsPerSecond: 40, burst: 400}),
		fc.array(anEvent, {minLength: 4, maxLength: 24}),
		(quota, events) => {
			const fleet = new ModelledFleet({count: INSTANCES, quota});
			playAll({fleet, events});
			assert.ok(fleet.largest(GRANT_WINDOW_MS) <= bound(quota), `granted ${fleet.largest(GRANT_WINDOW_MS)}, bound ${bound(quota)}`);
		},
	), {numRuns: RUNS});
});

// Guards against owners that use more than the whole of a shard together for so short a time, or in so small a part, that the bound still holds.
test('no order of failures lets processes use more than the whole of a shard', () => {
	fc.assert(fc.property(fc.array(anEvent, {minLength: 4, maxLength: 30}), events => {
		const fleet = new ModelledFleet({count: INSTANCES, quota, isGreedy: false});
		fleet.play(SETTLE_MS);
		playAll({fleet, events});
		assert.ok(fleet.largestSum <= 1, `shares of ${fleet.largestSum}`);
	}), {numRuns: RUNS});
});

const quota = {requestsPerSecond: 100, burst: 100};

// Guards against a burst that an owner that is cut off and its successor have saved up twice.
test('owners that are cut off and their successors save up one burst together', () => {
	const bursty = {requestsPerSecond: 40, burst: 400};
	const fleet = new ModelledFleet({count: 8, quota: bursty, isGreedy: false});
	fleet.play(SETTLE_MS);
	const owners = new Set([...fleet.store.state.records.values()].map(({record}) => record.owner!.id));
	for (const instance of fleet.instances) {
		instance.isCutOff = owners.has(instance.id);
	}

	fleet.play(90_000);
	fleet.isGreedy = true;
	fleet.play(8000);
	const largest = fleet.largest(GRANT_WINDOW_MS);
	assert.ok(largest > bursty.burst, `granted ${largest}, so that the burst was not saved up`);
	assert.ok(largest <= bound(bursty), `granted ${largest}, bound ${bound(bursty)}`);
});

// Guards against a scheme that keeps the bound by refusing what is within the quota. A number is a time that is played, in milliseconds; owners are those of the first shard.
const cases: ReadonlyArray<readonly [name: string, minUse: number, played: ReadonlyArray<EventKind | number>]> = [
	['without failures', 0.9, []],
	['with the store away', 0.6, ['lose-store', 8000]],
	['after the store was away', 0.9, ['lose-store', 30_000, 'regain-store', 6000]],
	['after a return of the store', 0.9, ['return', 6000]],
	['during a return of the store', 0.6, ['return']],
	['after an owner was killed and restarted', 0.9, ['kill-owner', 1000, 'restart-killed', 3000]],
	['after an owner was killed and restarted late', 0.9, ['kill-owner', 15_000, 'restart-killed', 3000]],
	['after an owner was removed', 0.8, ['kill-owner', 15_000]],
	['after an owner and its successor were killed and restarted late', 0.9, ['kill-owner', 15_000, 'kill-owner', 15_000, 'restart-killed', 3000]],
	['after an owner was shut down', 0.9, ['shut-down-owner', 5000]],
	['after an owner was suspended', 0.9, ['suspend-owner', 14_000]],
	['after an owner was cut off from the store and came back', 0.9, ['cut-off-owner', 30_000, 'reconnect-all', 3000]],
];

for (const [name, minUse, played] of cases) {
	test(`the quota is used ${name}`, () => {
		const fleet = new ModelledFleet({count: INSTANCES, quota});
		fleet.play(SETTLE_MS);
		for (const step of played) {
			assert.ok(findOwner({fleet, shard: 0}) ?? !String(step).endsWith('-owner'), 'the first shard has no owner');
			apply({fleet, event: typeof step === 'number' ? {kind: 'wait', durationMs: step} : {kind: step, durationMs: SUSPENSION_MS}});
		}

		const startMs = fleet.nowMs;
		fleet.play(4000);
		const use = fleet.granted(startMs) / (quota.requestsPerSecond * 4);
		assert.ok(use >= minUse, `used ${use}`);
	});
}
