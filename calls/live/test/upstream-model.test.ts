import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {configuration} from '@pomelopick/testing.gateway-fleet';
import {ModelledFleet} from './modelled-fleet.js';
import type {InstanceFault} from './modelled-fleet.js';
import type {StoreReturn} from './modelled-store.js';

/** Maximum delay until every instance in contact has received a change, in milliseconds: the tightest bound that the users require. */
const MAX_DELAY_MS = 2000;
/** Time for which an instance must have had no fault to count as in contact, in milliseconds. */
const MIN_SOUND_MS = 3000;
const START_MS = 5000;
const SIZE = 12;

interface Step {
	readonly afterMs: number;
	/** Index of the instance in the fleet. */
	readonly instance: number;
	readonly fault: InstanceFault;
	readonly writes: boolean;
	readonly storeReturn?: StoreReturn | undefined;
}

/** Outcome of a run. */
interface RunResult {
	/** Longest delay until an instance in contact received a change, in milliseconds. */
	readonly worstMs: number;
	/** Versions of the configuration that came into force at each instance, in order. */
	readonly versions: ReadonlyArray<readonly number[]>;
}

/** Runs the steps. */
async function runSteps(steps: readonly Step[]): Promise<RunResult> {
	const fleet = new ModelledFleet({size: SIZE});
	await fleet.time.runUntil(START_MS);
	const checks: Array<Promise<number>> = [];
	const allInstances = new Set(fleet.instances);
	let version = 0;
	for (const {afterMs, instance, fault, writes, storeReturn} of steps) {
		await fleet.time.runUntil(fleet.time.now() + afterMs);
		fleet.setFault({instance: fleet.instances[instance % SIZE]!, fault});
		allInstances.add(fleet.instances[instance % SIZE]!);
		if (storeReturn) {
			fleet.store.returnFromCopy(storeReturn);
		}

		if (writes) {
			const writtenAtMs = fleet.time.now();
			fleet.store.rewrite();
			version += 1;
			const index = fleet.store.write({key: 'op/config', value: new TextEncoder().encode(JSON.stringify(configuration({version})))});
			const inContact = fleet.instances.filter(({soundSinceMs}) => writtenAtMs - soundSinceMs >= MIN_SOUND_MS);
			const writtenVersion = version;
			checks.push(...inContact.map(async instanceInContact => measureDelay({
				fleet, instance: instanceInContact, index, version: writtenVersion, writtenAtMs,
			})));
		}
	}

	await fleet.time.runUntil(fleet.time.now() + MAX_DELAY_MS + MIN_SOUND_MS);
	const delaysMs = await Promise.all(checks);
	await fleet.stop();
	return {worstMs: Math.max(0, ...delaysMs), versions: [...allInstances].map(({versions}) => versions)};
}

interface MeasureOptions {
	readonly fleet: ModelledFleet;
	readonly instance: ModelledFleet['instances'][number];
	readonly index: number;
	/** Version of the configuration that was written. */
	readonly version: number;
	readonly writtenAtMs: number;
}

/** Time from which the store had a write until an instance received it, in milliseconds; 0 when the instance gets a fault meanwhile, also one that has ended again. */
async function measureDelay({fleet, instance, index, version, writtenAtMs}: MeasureOptions): Promise<number> {
	const isSound = (): boolean => instance.fault === 'none' && instance.soundSinceMs <= writtenAtMs;
	const hasReceived = (): boolean => instance.index() >= index && (instance.versions.at(-1) ?? 0) >= version;
	const delayMs = (): number => fleet.time.now() - fleet.store.completeSinceMs(writtenAtMs);
	while (isSound() && !hasReceived() && delayMs() <= MAX_DELAY_MS) {
		await fleet.time.sleep(10);
	}

	return isSound() ? delayMs() : 0;
}

const step: fc.Arbitrary<Step> = fc.record({
	afterMs: fc.integer({min: 0, max: 1500}),
	instance: fc.nat(SIZE - 1),
	fault: fc.constantFrom<InstanceFault>('none', 'none', 'killed', 'frozen', 'cut-from-store', 'cut-off'),
	writes: fc.boolean(),
});

/** Steps in which two returns of the store follow one another so fast that some instances only read snapshots in between. */
const fastReturns: readonly Step[] = [
	{
		afterMs: 803, instance: 2, fault: 'cut-from-store', writes: false,
	},
	{
		afterMs: 786, instance: 1, fault: 'none', writes: true, storeReturn: {missing: 0, rewrittenAfterMs: 6},
	},
	{
		afterMs: 818, instance: 10, fault: 'none', writes: true, storeReturn: {missing: 1, rewrittenAfterMs: 665},
	},
	{
		afterMs: 1013, instance: 9, fault: 'frozen', writes: true, storeReturn: {missing: 1, rewrittenAfterMs: 291},
	},
	{
		afterMs: 773, instance: 6, fault: 'cut-off', writes: false,
	},
	{
		afterMs: 677, instance: 6, fault: 'none', writes: false, storeReturn: {missing: 3, rewrittenAfterMs: 220},
	},
	{
		afterMs: 105, instance: 4, fault: 'frozen', writes: true, storeReturn: {missing: 0, rewrittenAfterMs: 367},
	},
];

/** Faults of the repeated series; in each, the instances with followers are affected first. */
const series: ReadonlyArray<{name: string; fault: InstanceFault}> = [
	{name: 'killed', fault: 'killed'},
	{name: 'frozen', fault: 'frozen'},
	{name: 'cut off from the store only', fault: 'cut-from-store'},
	{name: 'cut off from the store and all instances', fault: 'cut-off'},
];

describe('a fleet in which a few instances follow the store', () => {
	for (const {name, fault} of series) {
		it(`receives every change in time while the instances with followers are repeatedly ${name}`, async () => {
			const fleet = new ModelledFleet({size: SIZE});
			await fleet.time.runUntil(START_MS);
			const withFollowers = fleet.instances.filter(({relay}) => relay.hasFollowers).map(({record}) => fleet.instances.findIndex(instance => instance.record.id === record.id));
			await fleet.stop();
			assert.equal(withFollowers.length, 3);
			const others = Array.from({length: SIZE}, (_, index) => index).filter(index => !withFollowers.includes(index));
			const steps = [...withFollowers, ...others.slice(0, 6)].map((instance, index): Step => ({
				instance, fault, writes: true, afterMs: index % 2 === 0 ? 5 : 1100,
			}));
			const {worstMs} = await runSteps(steps);
			assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
		});
	}

	it('does not count an instance that is killed and restarted right after a write', async () => {
		const steps = (['none', 'killed', 'none'] as const).map((fault, index): Step => ({
			afterMs: 0, instance: 2, fault, writes: index === 0,
		}));
		const {worstMs} = await runSteps(steps);
		assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
	});

	it('receives every change in time with any faults of instances in any order', async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 40}), async steps => {
			const {worstMs} = await runSteps(steps);
			assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
		}), {numRuns: 60});
	});

	it('receives every change in time, and goes back to no configuration, while the store returns from older copies', async () => {
		const storeReturn = fc.option(fc.record({missing: fc.nat(3), rewrittenAfterMs: fc.nat(800)}), {freq: 3, nil: undefined});
		const returning = fc.tuple(step, storeReturn).map(([drawn, drawnReturn]): Step => ({...drawn, storeReturn: drawnReturn}));
		await fc.assert(fc.asyncProperty(fc.array(returning, {minLength: 5, maxLength: 40}), async steps => {
			const {worstMs, versions} = await runSteps(steps);
			assert.ok(worstMs <= MAX_DELAY_MS, `${worstMs} ms`);
			for (const list of versions) {
				assert.deepEqual(list, list.toSorted((left, right) => left - right));
			}
		}), {numRuns: 60, endOnFailure: true, examples: [[[...fastReturns]]]});
	});

	const sizes: readonly number[] = [12, 48, 96];
	for (const size of sizes) {
		it(`makes a number of store calls that does not grow with its size: ${size} instances`, async () => {
			const fleet = new ModelledFleet({size});
			await fleet.time.runUntil(START_MS);
			const before = fleet.storeCalls;
			await fleet.time.runUntil(START_MS + 10_000);
			const perSecond = (fleet.storeCalls - before) / 10;
			await fleet.stop();
			assert.ok(perSecond <= 3 * 1.5, `${perSecond} calls per second`);
		});
	}
});
