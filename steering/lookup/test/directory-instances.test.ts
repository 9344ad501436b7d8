import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseDirectoryInstances} from '@pomelopick/steering.lookup';
import type {FailureDomainName, RegionName} from '@pomelopick/core.types';

const instance = (id: string, region: string, isFull = false) => ({
	id, failureDomain: `${region}-a` as FailureDomainName, region: region as RegionName, isFull,
});
const all = [instance('n2', 'north'), instance('n1', 'north'), instance('s1', 'south'), instance('w1', 'west')];

const cases: ReadonlyArray<{name: string; instances: typeof all; region: string; homes: readonly string[][]; expected: readonly string[]}> = [
	{
		name: 'those of the caller\'s region', instances: all, region: 'north', homes: [], expected: ['n1', 'n2'],
	},
	{
		name: 'those of the caller\'s region even if its requests run in another one', instances: all, region: 'north', homes: [['south']], expected: ['n1', 'n2'],
	},
	{
		name: 'all when the caller\'s region has none', instances: all, region: 'east', homes: [[]], expected: ['n1', 'n2', 's1', 'w1'],
	},
	{
		name: 'those that all routes of the host allow when the caller\'s region has none', instances: all, region: 'east', homes: [['south', 'west'], ['west'], []], expected: ['w1'],
	},
	{
		name: 'all when the routes of the host allow no common region', instances: all, region: 'east', homes: [['south'], ['west']], expected: ['n1', 'n2', 's1', 'w1'],
	},
	{
		name: 'those that are not full', instances: [instance('n1', 'north', true), instance('n2', 'north')], region: 'north', homes: [], expected: ['n2'],
	},
	{
		name: 'full ones of the caller\'s region rather than others when all of it are full', instances: [instance('n1', 'north', true), instance('s1', 'south')], region: 'north', homes: [], expected: ['n1'],
	},
	{
		name: 'none when there are no instances', instances: [], region: 'north', homes: [], expected: [],
	},
];

describe('chooseDirectoryInstances', () => {
	for (const {name, instances, region, homes, expected} of cases) {
		it(`returns ${name}`, () => {
			assert.deepEqual(chooseDirectoryInstances({
				instances, region: region as RegionName, homeRegions: homes as RegionName[][], callerKey: '10.0.0.1',
			}).map(({id}) => id), expected);
		});
	}
});
