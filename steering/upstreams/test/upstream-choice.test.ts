import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {UpstreamChoice} from '@pomelopick/steering.upstreams';
import type {UpstreamCandidate} from '@pomelopick/steering.upstreams';
import type {FailureDomainName, InstanceId, RegionName} from '@pomelopick/core.types';

const REGIONS = ['north', 'south', 'west'];
const DOMAINS_OF_REGION = 3;

const fleetOf = (size: number): readonly UpstreamCandidate[] => Array.from({length: size}, (_, index) => ({
	id: `instance-${index}` as InstanceId,
	failureDomain: `${REGIONS[index % REGIONS.length]!}-${Math.floor(index / REGIONS.length) % DOMAINS_OF_REGION}` as FailureDomainName,
	region: REGIONS[index % REGIONS.length] as RegionName,
}));

/** The upstream of each instance; undefined: it reads the store. */
const chooseAll = (instances: readonly UpstreamCandidate[]): ReadonlyMap<InstanceId, UpstreamCandidate | undefined> =>
	new Map(instances.map(self => [self.id, new UpstreamChoice({self}).choose({instances, nowMs: 0})]));

/** The upstream that an instance chooses after its first one was silent; undefined: it reads the store. */
const chooseSecond = ({instances, self}: {readonly instances: readonly UpstreamCandidate[]; readonly self: UpstreamCandidate}): UpstreamCandidate | undefined => {
	const choice = new UpstreamChoice({self});
	const first = choice.choose({instances, nowMs: 0})!;
	choice.recordFailure({id: first.id, failure: 'silent', nowMs: 0});
	return choice.choose({instances, nowMs: 1});
};

const sizes: ReadonlyArray<{size: number; maxReadingStore: number; maxDownstream: number}> = [
	{size: 1, maxReadingStore: 1, maxDownstream: 0},
	{size: 3, maxReadingStore: 3, maxDownstream: 0},
	{size: 8, maxReadingStore: 3, maxDownstream: 2},
	{size: 27, maxReadingStore: 3, maxDownstream: 8},
	{size: 90, maxReadingStore: 3, maxDownstream: 29},
	{size: 195, maxReadingStore: 9, maxDownstream: 21},
	{size: 920, maxReadingStore: 27, maxDownstream: 60},
];

describe('UpstreamChoice', () => {
	for (const {size, maxReadingStore, maxDownstream} of sizes) {
		it(`lets at most ${maxReadingStore} of ${size} instances read the store, and at most ${maxDownstream} follow one upstream`, () => {
			const choices = chooseAll(fleetOf(size));
			assert.ok([...choices.values()].filter(upstream => upstream === undefined).length <= maxReadingStore);
			const downstream = new Map<InstanceId, number>();
			for (const upstream of choices.values()) {
				if (upstream) {
					downstream.set(upstream.id, (downstream.get(upstream.id) ?? 0) + 1);
				}
			}

			assert.ok(Math.max(0, ...downstream.values()) <= maxDownstream, JSON.stringify([...downstream]));
		});
	}

	const groups: ReadonlyArray<{size: number; field: 'region' | 'failureDomain'}> = [{size: 60, field: 'region'}, {size: 195, field: 'failureDomain'}];
	for (const {size, field} of groups) {
		it(`follows instances of the same ${field} that read the store themselves, in a fleet of ${size}`, () => {
			const instances = fleetOf(size);
			const choices = chooseAll(instances);
			for (const instance of instances) {
				const upstream = choices.get(instance.id);
				if (upstream) {
					assert.equal(upstream[field], instance[field]);
					assert.equal(choices.get(upstream.id), undefined);
				}
			}
		});
	}

	it('skips an upstream that failed: for a short time when it could not reach the store, for longer when it was silent', () => {
		const instances = fleetOf(27);
		const self = instances.find(({id}) => chooseAll(instances).get(id) !== undefined)!;
		const choice = new UpstreamChoice({self});
		const first = choice.choose({instances, nowMs: 0})!;
		choice.recordFailure({id: first.id, failure: 'unavailable', nowMs: 0});
		assert.notEqual(choice.choose({instances, nowMs: 400})?.id, first.id);
		assert.equal(choice.choose({instances, nowMs: 500})?.id, first.id);
		choice.recordFailure({id: first.id, failure: 'silent', nowMs: 1000});
		assert.notEqual(choice.choose({instances, nowMs: 3900})?.id, first.id);
		assert.equal(choice.choose({instances, nowMs: 4000})?.id, first.id);
	});

	for (const region of REGIONS) {
		it(`follows the standby instance of ${region}, which then reads the store, after the only upstream failed`, () => {
			const instances = fleetOf(27);
			const choices = chooseAll(instances);
			const followers = instances.filter(instance => instance.region === region && choices.get(instance.id) !== undefined);
			const seconds = new Map(followers.map(self => [self.id, chooseSecond({instances, self})?.id]));
			const standbys = [...seconds].filter(([, second]) => second === undefined).map(([id]) => id);
			assert.equal(standbys.length, 1, JSON.stringify([...seconds]));
			assert.deepEqual(new Set([...seconds.values()].filter(second => second !== undefined)), new Set(standbys));
		});
	}

	it('reads the store when every upstream failed', () => {
		const instances = fleetOf(27);
		const self = instances.find(({id}) => chooseAll(instances).get(id) !== undefined)!;
		const choice = new UpstreamChoice({self});
		for (let upstream = choice.choose({instances, nowMs: 0}); upstream; upstream = choice.choose({instances, nowMs: 0})) {
			choice.recordFailure({id: upstream.id, failure: 'silent', nowMs: 0});
		}

		assert.equal(choice.choose({instances, nowMs: 1}), undefined);
	});

	it('keeps the upstreams of most instances when one instance leaves', () => {
		const instances = fleetOf(195);
		const before = chooseAll(instances);
		const gone = instances[7]!;
		const after = chooseAll(instances.filter(({id}) => id !== gone.id));
		const moved = [...after].filter(([id, upstream]) => before.get(id)?.id !== upstream?.id && before.get(id)?.id !== gone.id);
		assert.ok(moved.length <= 2, JSON.stringify(moved));
	});
});
