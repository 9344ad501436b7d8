import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerName} from '@pomelopick/core.types';
import {createDraw} from '@pomelopick/testing.gateway-soak';
import {RETENTION_MS, SETTLING_MS} from '@pomelopick/steering.limits';
import {ModelledFleet} from './modelled-fleet.js';
import type {FleetEvent} from './modelled-fleet.js';

const SEED = 32_201;
const DURATION_MS = 24_000;
const LEASE_MS = 4800;
const WINDOW_SECONDS = 4;
const OVERAGE = 1.5;
const SLACK = 5;

const repeat = (count: number, everyMs: number, change: (fleet: ModelledFleet, number: number) => void): readonly FleetEvent[] => Array.from({length: count}, (_, number) => ({
	atMs: 4000 + (number * everyMs), change(fleet) {
		change(fleet, number);
	},
}));

const killOwner = (fleet: ModelledFleet): void => {
	fleet.kill(fleet.owner, {lapsesAfterMs: LEASE_MS});
};

const situations: ReadonlyArray<{name: string; events: readonly FleetEvent[]; minUse: number}> = [
	{name: 'all instances have the same view', events: [], minUse: 0.75},
	{name: 'the owner is killed every two seconds', events: repeat(5, 2000, killOwner), minUse: 0.1},
	{
		name: 'the owner is killed and starts again at once, knowing the limit', events: repeat(8, 1500, fleet => {
			const {owner} = fleet;
			fleet.kill(owner, {lapsesAfterMs: 0});
			fleet.join(owner.id);
		}), minUse: 0.2,
	},
	{
		name: 'the owner freezes for three seconds', events: [...repeat(1, 0, fleet => {
			fleet.owner.isFrozen = true;
		}), {
			atMs: 7000, change(fleet) {
				fleet.owner.isFrozen = false;
			},
		}], minUse: 0.5,
	},
	{
		name: 'instances join one after the other', events: repeat(8, 1000, (fleet, number) => {
			fleet.join(`joined-${number}`);
		}), minUse: 0.5,
	},
	{
		name: 'the store is away for nine seconds', events: [...repeat(1, 0, fleet => {
			fleet.setCut(fleet.members, true);
		}), {
			atMs: 13_000, change(fleet) {
				fleet.setCut(fleet.members, false);
			},
		}], minUse: 0.5,
	},
	{
		name: 'the owner alone is cut off from the store and loses its record', events: repeat(1, 0, fleet => {
			const {owner} = fleet;
			fleet.setCut([owner], true);
			fleet.unregister(owner);
		}), minUse: 0.5,
	},
	{
		name: 'the store is away when the owner dies', events: [...repeat(1, 0, fleet => {
			fleet.setCut(fleet.members, true);
			fleet.owner.isUp = false;
		}), {
			atMs: 13_000, change(fleet) {
				fleet.setCut(fleet.members, false);
				fleet.unregister(fleet.owner);
			},
		}], minUse: 0.1,
	},
];
const sizes: ReadonlyArray<{size: number; demandPercent: number}> = [{size: 1, demandPercent: 50}, {size: 8, demandPercent: 10}, {size: 20, demandPercent: 4}, {size: 195, demandPercent: 0.4}];
const limits = [2, 2.9, 12];

describe(`RatePermits of a fleet (seed ${SEED})`, () => {
	for (const {name, events, minUse} of situations) {
		for (const {size, demandPercent} of sizes.filter(({size}) => size > 1 || events.length === 0)) {
			it(`keep the limit of a server and use it when ${name}, with ${size} instances`, async () => {
				for (const limit of limits) {
					const fleet = new ModelledFleet({
						size, draw: createDraw(SEED + size), limit, demandPercent,
					});
					await fleet.play({untilMs: DURATION_MS, events});
					const allowed = (OVERAGE * limit * WINDOW_SECONDS) + SLACK;
					const use = fleet.arrivalsMs.length / (limit * DURATION_MS / 1000);
					assert.ok(fleet.maxInWindow() <= allowed, `limit ${limit}: ${fleet.maxInWindow()} in a window, allowed ${allowed}`);
					assert.ok(use >= minUse, `limit ${limit}: ${use} of the limit is used`);
				}
			});
		}
	}

	it('apply the lower of two limits while a server warms up', async () => {
		const fleet = new ModelledFleet({
			size: 8, draw: createDraw(SEED), limit: 12, warmup: {untilMs: 8000, requestsPerSecond: 4}, demandPercent: 50,
		});
		await fleet.play({untilMs: 8000});
		assert.ok(fleet.arrivalsMs.length <= 16, String(fleet.arrivalsMs.length));
		await fleet.play({untilMs: 16_000});
		assert.ok(fleet.arrivalsMs.length >= 60, String(fleet.arrivalsMs.length));
	});

	it('send a request now and then to a server that names a limit of 0, so that its end is noticed', async () => {
		const fleet = new ModelledFleet({
			size: 8, draw: createDraw(SEED), limit: 0, demandPercent: 50,
		});
		await fleet.play({untilMs: DURATION_MS});
		assert.ok(fleet.arrivalsMs.length >= 3, String(fleet.arrivalsMs.length));
		assert.ok(fleet.maxInWindow() <= SLACK, String(fleet.maxInWindow()));
	});

	it('ask nobody and refuse nothing while no server names a limit', async () => {
		const fleet = new ModelledFleet({size: 8, draw: createDraw(SEED), demandPercent: 50});
		await fleet.play({untilMs: 2000});
		assert.deepEqual(fleet.counts, {questions: 0, refused: 0});
	});

	it('send nothing from an instance that knows the limit and no other instance', async () => {
		const fleet = new ModelledFleet({
			size: 1, draw: createDraw(SEED), limit: 12, demandPercent: 100,
		});
		fleet.unregister(fleet.members[0]!);
		await fleet.play({untilMs: 2000 + RETENTION_MS});
		const sentBefore = fleet.arrivalsMs.length;
		await fleet.play({untilMs: 8000 + RETENTION_MS});
		assert.equal(fleet.arrivalsMs.length, sentBefore);
	});

	// Guards against cold servers that are not used, since the first request of an owner found no token.
	for (const {name, isTold} of [
		{name: 'have a token for the first request once the warm-up has been known for a while', isTold: true},
		{name: 'have none for a request that reveals the warm-up', isTold: false},
	]) {
		it(name, async () => {
			const fleet = new ModelledFleet({
				size: 8, draw: createDraw(SEED), warmup: {untilMs: SETTLING_MS * 2, requestsPerSecond: 4}, demandPercent: 0,
			});
			const known = {server: {name: 'limited' as BackendServerName, startedAtMs: 1}, coldUntilMs: SETTLING_MS * 2};
			await fleet.play({untilMs: SETTLING_MS + 1000});
			if (isTold) {
				fleet.owner.permits.beginWarmup(known);
			}

			await fleet.play({untilMs: SETTLING_MS + 1600});
			assert.equal(fleet.owner.permits.take({known, answerByMs: SETTLING_MS * 2}), isTold);
		});
	}

	it('do not ask an owner that did not answer again at once, nor about a server that only warms up', async () => {
		const dead = new ModelledFleet({
			size: 8, draw: createDraw(SEED), limit: 2, demandPercent: 100,
		});
		dead.owner.isUp = false;
		await dead.play({untilMs: 10_000});
		assert.equal(dead.arrivalsMs.length, 0);
		assert.ok(dead.counts.questions <= 7 * 21, String(dead.counts.questions));
		const warming = new ModelledFleet({
			size: 8, draw: createDraw(SEED), warmup: {untilMs: 10_000 + SETTLING_MS, requestsPerSecond: 4}, demandPercent: 100,
		});
		await warming.play({untilMs: 10_000 + SETTLING_MS});
		assert.equal(warming.counts.questions, 0);
		assert.ok(warming.arrivalsMs.length >= 15, String(warming.arrivalsMs.length));
	});
});
