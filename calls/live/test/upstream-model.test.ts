import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ModelledFleet} from './modelled-fleet.js';
import type {InstanceFault} from './modelled-fleet.js';

/** Time after which a change must be known to every instance in touch, in milliseconds: the tightest bound of the users' sheets. */
const MAX_DELAY_MS = 2000;
/** Time for which an instance must have been sound to count as in touch, in milliseconds. */
const MIN_SOUND_MS = 3000;
const START_MS = 5000;
const SIZE = 12;

interface Step {
	readonly afterMs: number;
	/** Number of the instance. */
	readonly instance: number;
	readonly fault: InstanceFault;
	readonly writes: boolean;
}

/** Plays the steps; answers the longest time in which an instance in touch learnt of a change, in milliseconds. */
async function play(steps: readonly Step[]): Promise<number> {
	const fleet = new ModelledFleet({size: SIZE});
	await fleet.time.runUntil(START_MS);
	const checks: Array<Promise<number>> = [];
	for (const {afterMs, instance, fault, writes} of steps) {
		await fleet.time.runUntil(fleet.time.now() + afterMs);
		fleet.setFault({instance: fleet.instances[instance % SIZE]!, fault});
		if (writes) {
			const writtenAtMs = fleet.time.now();
			const index = fleet.write({key: 'op/evacuate/nowhere', value: new Uint8Array()});
			const inTouch = fleet.instances.filter(({soundSinceMs}) => writtenAtMs - soundSinceMs >= MIN_SOUND_MS);
			checks.push(...inTouch.map(async known => measureDelay({
				fleet, known, index, writtenAtMs,
			})));
		}
	}

	await fleet.time.runUntil(fleet.time.now() + MAX_DELAY_MS + MIN_SOUND_MS);
	const delaysMs = await Promise.all(checks);
	await fleet.stop();
	return Math.max(0, ...delaysMs);
}

interface MeasureOptions {
	readonly fleet: ModelledFleet;
	readonly known: ModelledFleet['instances'][number];
	readonly index: number;
	readonly writtenAtMs: number;
}

/** Time until an instance knows of a write, in milliseconds; 0 when something goes wrong with the instance meanwhile. */
async function measureDelay({fleet, known, index, writtenAtMs}: MeasureOptions): Promise<number> {
	while (known.fault === 'none' && known.index() < index && fleet.time.now() - writtenAtMs <= MAX_DELAY_MS) {
		await fleet.time.sleep(10);
	}

	return known.fault === 'none' ? fleet.time.now() - writtenAtMs : 0;
}

const step: fc.Arbitrary<Step> = fc.record({
	afterMs: fc.integer({min: 0, max: 1500}),
	instance: fc.nat(SIZE - 1),
	fault: fc.constantFrom<InstanceFault>('none', 'none', 'killed', 'frozen', 'cut-from-store', 'cut-off'),
	writes: fc.boolean(),
});

/** Instances that others follow come first in each series. */
const series: ReadonlyArray<{name: string; fault: InstanceFault}> = [
	{name: 'killed', fault: 'killed'},
	{name: 'frozen', fault: 'frozen'},
	{name: 'cut off from the store alone', fault: 'cut-from-store'},
	{name: 'cut off from all', fault: 'cut-off'},
];

describe('a fleet of which a few instances follow the store', () => {
	for (const {name, fault} of series) {
		it(`knows of every change in time while those that are followed are ${name}, again and again`, async () => {
			const fleet = new ModelledFleet({size: SIZE});
			await fleet.time.runUntil(START_MS);
			const followed = fleet.instances.filter(({relay}) => relay.hasFollowers).map(({record}) => fleet.instances.findIndex(instance => instance.record.id === record.id));
			await fleet.stop();
			assert.equal(followed.length, 3);
			const others = Array.from({length: SIZE}, (_, index) => index).filter(index => !followed.includes(index));
			const steps = [...followed, ...others.slice(0, 6)].map((instance, index): Step => ({
				instance, fault, writes: true, afterMs: index % 2 === 0 ? 5 : 1100,
			}));
			const worstMs = await play(steps);
			assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
		});
	}

	it('knows of every change in time whatever happens to instances, and in what order', async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 40}), async steps => {
			const worstMs = await play(steps);
			assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
		}), {numRuns: 60});
	});

	const sizes: readonly number[] = [12, 48, 96];
	for (const size of sizes) {
		it(`asks the store as often at ${size} instances as its few followers do`, async () => {
			const fleet = new ModelledFleet({size});
			await fleet.time.runUntil(START_MS);
			const before = fleet.storeCalls;
			await fleet.time.runUntil(START_MS + 10_000);
			const perSecond = (fleet.storeCalls - before) / 10;
			await fleet.stop();
			assert.ok(perSecond <= 3 * 1.5, `${perSecond} calls a second`);
		});
	}
});
