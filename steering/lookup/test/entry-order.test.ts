import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {FailureDomainName, Instance, InstanceId} from '@pomelopick/core.types';
import {
	groupEntries, listEntries, orderEntries, Topology,
} from '@pomelopick/steering.lookup';
import type {EntryCandidate} from '@pomelopick/steering.lookup';

const endpoint = {address: '127.0.0.1', port: 1};
const domains = ['north-1', 'north-2', 'south-1'] as FailureDomainName[];
const topology = new Topology(checkConfigurationSet({
	regions: [{name: 'north'}, {name: 'south'}],
	failureDomains: [{name: 'north-1', region: 'north'}, {name: 'north-2', region: 'north'}, {name: 'south-1', region: 'south'}],
	sites: [{name: 'site', failureDomain: 'north-1'}],
	services: [{name: 'desk'}],
	links: [{
		name: 'link', between: ['north', 'south'], megabitsPerSecond: 1, oneWayMs: 20,
	}],
}).unsafeCoerce());

interface CandidateOptions {
	readonly id: string;
	readonly domain: number;
	readonly state?: 'live' | 'leaving';
	readonly load?: number;
	readonly alive?: boolean;
}

function candidate({id, domain, state = 'live', load = 0, alive = true}: CandidateOptions): EntryCandidate {
	const instance: Instance = {
		id: id as InstanceId, failureDomain: domains[domain]!, state, callers: endpoint, peers: endpoint, operators: endpoint,
	};
	return {instance, load, alive};
}

const fleet = [candidate({id: 'd', domain: 2}), candidate({id: 'b', domain: 0}), candidate({id: 'c', domain: 1}), candidate({id: 'a', domain: 0})];

const cases: ReadonlyArray<{name: string; candidates: EntryCandidate[]; near: FailureDomainName | undefined; spread: number; expected: string}> = [
	{
		name: 'lists the nearest first, sorted by name among those with the same delay', candidates: fleet, near: domains[0], spread: 0, expected: 'abcd',
	},
	{
		name: 'starts at another instance with the same delay for another caller', candidates: fleet, near: domains[0], spread: 1, expected: 'bacd',
	},
	{
		name: 'spreads callers in an unknown place over all instances', candidates: fleet, near: undefined, spread: 2, expected: 'cdab',
	},
	{
		name: 'leaves out leaving and crashed instances',
		candidates: [...fleet, candidate({id: 'e', domain: 0, state: 'leaving'}), candidate({id: 'f', domain: 0, alive: false})],
		near: domains[0],
		spread: 0,
		expected: 'abcd',
	},
	{
		name: 'leaves out a full instance while others have free capacity', candidates: [...fleet, candidate({id: 'e', domain: 0, load: 0.95})], near: domains[0], spread: 0, expected: 'abcd',
	},
	{
		name: 'lists full instances when all are full',
		candidates: [candidate({id: 'a', domain: 0, load: 1}), candidate({id: 'b', domain: 2, load: 1})],
		near: domains[2],
		spread: 0,
		expected: 'ba',
	},
];

describe('orderEntries', () => {
	for (const {name, candidates, near, spread, expected} of cases) {
		it(name, () => {
			const order = orderEntries({
				candidates, near, topology, spread, most: candidates.length,
			});
			assert.equal(order.map(({id}) => id).join(''), expected);
		});
	}

	it('lists the beginning of the whole order for any spread', () => {
		fc.assert(fc.property(fc.array(fc.nat({max: 2}), {maxLength: 20}), fc.nat(), fc.nat({max: 25}), (placed, spread, most) => {
			const candidates = placed.map((domain, index) => candidate({id: `i${index}`, domain}));
			const groups = groupEntries({candidates, near: domains[0], topology});
			const whole = listEntries({groups, spread, most: Number.POSITIVE_INFINITY});
			assert.equal(new Set(whole).size, placed.length);
			assert.deepEqual(listEntries({groups, spread, most}), whole.slice(0, most));
		}), {seed: 1});
	});

	it('spreads the callers of an instance that fails over all other instances of its group', () => {
		const size = 5;
		const groups = groupEntries({candidates: Array.from({length: size}, (_, index) => candidate({id: `i${index}`, domain: 0})), near: domains[0], topology});
		const pairs = new Map<string, number>();
		for (let spread = 0; spread < size * (size - 1) * 3; spread += 1) {
			const [first, second] = listEntries({groups, spread, most: 2});
			const pair = `${first!.id} then ${second!.id}`;
			pairs.set(pair, (pairs.get(pair) ?? 0) + 1);
		}

		assert.deepEqual([pairs.size, new Set(pairs.values())], [size * (size - 1), new Set([3])]);
	});
});
