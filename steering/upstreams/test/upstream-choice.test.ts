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

/** Instances that each one follows; undefined: the store. */
const chooseAll = (instances: readonly UpstreamCandidate[]): ReadonlyMap<InstanceId, UpstreamCandidate | undefined> =>
	new Map(instances.map(self => [self.id, new UpstreamChoice({self}).choose({instances, nowMs: 0})]));

/** Whom an instance turns to once the first upstream that it chose was silent; undefined: the store. */
const chooseSecond = ({instances, self}: {readonly instances: readonly UpstreamCandidate[]; readonly self: UpstreamCandidate}): UpstreamCandidate | undefined => {
	const choice = new UpstreamChoice({self});
	const first = choice.choose({instances, nowMs: 0})!;
	choice.recordFailure({id: first.id, failure: 'silent', nowMs: 0});
	return choice.choose({instances, nowMs: 1});
};

const sizes: ReadonlyArray<{size: number; mostAtStore: number; mostDownstream: number}> = [
	{size: 1, mostAtStore: 1, mostDownstream: 0},
	{size: 3, mostAtStore: 3, mostDownstream: 0},
	{size: 8, mostAtStore: 3, mostDownstream: 2},
	{size: 27, mostAtStore: 3, mostDownstream: 8},
	{size: 90, mostAtStore: 3, mostDownstream: 29},
	{size: 195, mostAtStore: 9, mostDownstream: 21},
	{size: 920, mostAtStore: 27, mostDownstream: 60},
];

describe('UpstreamChoice', () => {
	for (const {size, mostAtStore, mostDownstream} of sizes) {
		it(`lets at most ${mostAtStore} of ${size} instances follow the store, and none be followed by more than ${mostDownstream}`, () => {
			const choices = chooseAll(fleetOf(size));
			assert.ok([...choices.values()].filter(upstream => upstream === undefined).length <= mostAtStore);
			const downstream = new Map<InstanceId, number>();
			for (const upstream of choices.values()) {
				if (upstream) {
					downstream.set(upstream.id, (downstream.get(upstream.id) ?? 0) + 1);
				}
			}

			assert.ok(Math.max(0, ...downstream.values()) <= mostDownstream, JSON.stringify([...downstream]));
		});
	}

	const groups: ReadonlyArray<{size: number; field: 'region' | 'failureDomain'}> = [{size: 60, field: 'region'}, {size: 195, field: 'failureDomain'}];
	for (const {size, field} of groups) {
		it(`follows instances of the same ${field} that follow the store themselves, among ${size}`, () => {
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

	it('passes over an upstream that failed: for a short time when it had no word, for longer when it was silent', () => {
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
		it(`follows the one instance of ${region} that stands by, which itself turns to the store, once the only upstream failed`, () => {
			const instances = fleetOf(27);
			const choices = chooseAll(instances);
			const followers = instances.filter(instance => instance.region === region && choices.get(instance.id) !== undefined);
			const seconds = new Map(followers.map(self => [self.id, chooseSecond({instances, self})?.id]));
			const standbys = [...seconds].filter(([, second]) => second === undefined).map(([id]) => id);
			assert.equal(standbys.length, 1, JSON.stringify([...seconds]));
			assert.deepEqual(new Set([...seconds.values()].filter(second => second !== undefined)), new Set(standbys));
		});
	}

	it('follows the store when every upstream failed', () => {
		const instances = fleetOf(27);
		const self = instances.find(({id}) => chooseAll(instances).get(id) !== undefined)!;
		const choice = new UpstreamChoice({self});
		for (let upstream = choice.choose({instances, nowMs: 0}); upstream; upstream = choice.choose({instances, nowMs: 0})) {
			choice.recordFailure({id: upstream.id, failure: 'silent', nowMs: 0});
		}

		assert.equal(choice.choose({instances, nowMs: 1}), undefined);
	});

	it('leaves most others where they are when an instance goes', () => {
		const instances = fleetOf(195);
		const before = chooseAll(instances);
		const gone = instances[7]!;
		const after = chooseAll(instances.filter(({id}) => id !== gone.id));
		const moved = [...after].filter(([id, upstream]) => before.get(id)?.id !== upstream?.id && before.get(id)?.id !== gone.id);
		assert.ok(moved.length <= 2, JSON.stringify(moved));
	});
});
