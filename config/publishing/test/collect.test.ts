import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSet, PublishId} from '@pomelopick/core.types';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {CollectOutcome, CollectStep} from '@pomelopick/config.publishing';
import {
	CHUNK_PREFIX, collectChunks, PUBLISH_PREFIX, publishConfiguration, readRoot, readSet, ROOT_KEY,
} from '@pomelopick/config.publishing';
import {HookedStore} from './hooked-store.js';

const PUBLISH_TIMEOUT_MS = 60_000;
/** Delay after which publishes and collections that started at `START_MS` are considered abandoned. */
const COLLECT_DELAY_MS = 10 * PUBLISH_TIMEOUT_MS;
const START_MS = 1_800_000_000_000;

function createSet(service: string): ConfigurationSet {
	return checkConfigurationSet({
		regions: [{name: 'north'}],
		failureDomains: [{name: 'north-1', region: 'north'}],
		sites: [{name: 'one', failureDomain: 'north-1'}],
		services: [{name: service}],
	}).unsafeCoerce();
}

describe('collectChunks', () => {
	let platform: PlatformStandIn;
	let store: HookedStore;
	let publisher: HookedStore;
	const publish = async ({service, nowMs = START_MS}: {readonly service: string; readonly nowMs?: number}) => publishConfiguration({
		store: publisher, set: createSet(service), author: 'test', nowMs, publishId: `${service}-${nowMs}` as PublishId,
	}).run();
	const collect = async ({onStep, nowMs = START_MS + COLLECT_DELAY_MS}: {readonly onStep?: (step: CollectStep) => Promise<void>; readonly nowMs?: number} = {}): Promise<CollectOutcome> => {
		const outcome = await collectChunks({
			store, keepVersions: 1, publishTimeoutMs: PUBLISH_TIMEOUT_MS, nowMs, onStep,
		}).run();
		return outcome.unsafeCoerce();
	};

	const countChunks = (): number => platform.keyValues.read({key: CHUNK_PREFIX, recurse: true}).length;
	const readNewest = async (): Promise<string> => {
		const read = await readRoot(store).chain(found => readSet({store, root: found!.root})).run();
		return read.map(({set}) => set.services[0]!.name as string).mapLeft(({code}) => code).extract();
	};

	beforeEach(async () => {
		platform = await startPlatformStandIn({limits: {readsPerSecond: 100_000, writesPerSecond: 100_000}});
		store = new HookedStore({endpoint: platform.endpoint});
		publisher = new HookedStore({endpoint: platform.endpoint});
		for (const service of ['first', 'second', 'third']) {
			await publish({service});
		}
	});
	afterEach(async () => {
		await Promise.all([store.close(), publisher.close()]);
		await platform.stop();
	});

	it('deletes a chunk that is referenced only by a version that is not retained', async () => {
		const before = countChunks();
		const outcome = await collect();
		assert.deepEqual(outcome, {deletedChunks: 1, deletedVersions: 1, sparedChunks: 0});
		assert.equal(countChunks(), before - 1);
		assert.equal(await readNewest(), 'third');
	});

	for (const step of ['listed', 'condemned', 'checked'] as const) {
		it(`does not delete a chunk that a publish needs again after the step "${step}"`, async () => {
			await collect({
				async onStep(reached) {
					if (reached === step) {
						const published = await publish({service: 'first', nowMs: START_MS + COLLECT_DELAY_MS});
						assert.equal(published.map(({kind}) => kind).orDefault('undecided'), 'accepted');
					}
				},
			});
			assert.equal(await readNewest(), 'first');
		});
	}

	// A collection regards the publish as abandoned and may delete its chunks, so the old swap must not succeed.
	it('makes the swap of a publisher that resumes after the publish timeout fail, so that it publishes in a new attempt', async () => {
		let isFirst = true;
		publisher.hook = async ({write, swap}) => {
			if (swap.key === ROOT_KEY && isFirst) {
				isFirst = false;
				await collect();
			}

			return write();
		};

		const published = await publish({service: 'fourth'});
		assert.equal(published.map(({kind}) => kind).orDefault('undecided'), 'accepted');
		assert.equal(await readNewest(), 'fourth');
	});

	// The paused collection still has the modify index of a chunk that a publish then needs. If the collection that
	// cancels it does not advance that index, the chunk is deleted after the resume.
	it('deletes no needed chunk when a collection pauses, is cancelled by another one during a publish and then resumes', async () => {
		const secondCollectionMs = START_MS + (2 * COLLECT_DELAY_MS);
		let hasPaused = false;
		publisher.hook = async ({write, swap}) => {
			const written = await write();
			if (swap.key.startsWith(PUBLISH_PREFIX)) {
				await collect({nowMs: secondCollectionMs});
			}

			return written;
		};

		await collect({
			async onStep(step) {
				if (step === 'checked' && !hasPaused) {
					hasPaused = true;
					await publish({service: 'first', nowMs: secondCollectionMs});
				}
			},
		});
		assert.equal(await readNewest(), 'first');
	});
});
