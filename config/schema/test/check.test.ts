import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationFault, ConfigurationSetInput} from '@pomelopick/config.schema';

const validSet: ConfigurationSetInput = {
	regions: [{name: 'north'}, {name: 'south'}],
	failureDomains: [{name: 'north-1', region: 'north'}, {name: 'south-1', region: 'south'}],
	sites: [{name: 'north-site', failureDomain: 'north-1'}, {name: 'south-site', failureDomain: 'south-1'}],
	links: [{
		name: 'north-south', between: ['north', 'south'], megabitsPerSecond: 280, oneWayMs: 12,
	}],
	services: [{name: 'desk', answerBytes: 4096}],
	backendServers: [
		{
			name: 'desk-1', service: 'desk', site: 'north-site', address: '127.0.0.1', port: 9001, slots: 4,
		},
		{
			name: 'desk-2', service: 'desk', site: 'south-site', address: '127.0.0.1', port: 9002, slots: 4,
		},
	],
	shifts: [{
		name: 'to-south', service: 'desk', from: 'north', to: 'south', capCallsPerSecond: 100,
	}],
	clientBlocks: [{prefix: '10.0.0.0/8', site: 'north-site'}, {prefix: '10.1.0.0/16', site: 'south-site'}, {prefix: '2001:db8::/32', site: 'north-site'}],
};

const regionWithUnknownKey: {name: string} & Record<string, unknown> = {name: 'north', size: 3};

const cases: ReadonlyArray<{name: string; change: Partial<ConfigurationSetInput>; expected: ReadonlyArray<Pick<ConfigurationFault, 'code' | 'path'>>}> = [
	{name: 'accepts a valid set with nested client blocks', change: {}, expected: []},
	{
		name: 'reports a reference to an unknown region',
		change: {failureDomains: [{name: 'north-1', region: 'nowhere'}, {name: 'south-1', region: 'south'}]},
		expected: [{code: 'unknown-name', path: 'failureDomains[0].region'}],
	},
	{name: 'reports a duplicate name', change: {regions: [{name: 'north'}, {name: 'south'}, {name: 'north'}]}, expected: [{code: 'double-name', path: 'regions[2].name'}]},
	{
		name: 'rejects a cap above the calls per second that the slots can complete',
		change: {
			services: [{name: 'desk', answerBytes: 0}], shifts: [{
				name: 'to-south', service: 'desk', from: 'north', to: 'south', capCallsPerSecond: 4001,
			}],
		},
		expected: [{code: 'impossible-cap', path: 'shifts[0].capCallsPerSecond'}],
	},
	{
		name: 'rejects a cap above the bandwidth of the link',
		change: {services: [{name: 'desk', answerBytes: 1_000_000}]},
		expected: [{code: 'impossible-cap', path: 'shifts[0].capCallsPerSecond'}],
	},
	{
		name: 'rejects shifts that form a loop',
		change: {
			shifts: [
				{
					name: 'there', service: 'desk', from: 'north', to: 'south', capCallsPerSecond: 1,
				},
				{
					name: 'back', service: 'desk', from: 'south', to: 'north', capCallsPerSecond: 1,
				},
			],
		},
		expected: [{code: 'loop', path: 'shifts[0]'}, {code: 'loop', path: 'shifts[1]'}],
	},
	{
		name: 'rejects a duplicate client block that is written in another notation',
		change: {clientBlocks: [{prefix: '2001:db8::/32', site: 'north-site'}, {prefix: '2001:0db8:0::/32', site: 'south-site'}]},
		expected: [{code: 'overlapping-block', path: 'clientBlocks[1].prefix'}],
	},
	{name: 'rejects a client block with host bits', change: {clientBlocks: [{prefix: '10.0.0.1/8', site: 'north-site'}]}, expected: [{code: 'bad-block', path: 'clientBlocks[0].prefix'}]},
	{
		name: 'reports a bad shape with its path, and the references that are unknown without that object',
		change: {services: [{name: 'Desk!'}]},
		expected: [
			{code: 'bad-shape', path: 'services[0].name'},
			{code: 'unknown-name', path: 'backendServers[0].service'},
			{code: 'unknown-name', path: 'backendServers[1].service'},
			{code: 'unknown-name', path: 'shifts[0].service'},
		],
	},
	{
		name: 'rejects an IPv4-mapped IPv6 block, which no look-up would match',
		change: {clientBlocks: [{prefix: '::ffff:10.0.0.0/104', site: 'north-site'}]},
		expected: [{code: 'bad-block', path: 'clientBlocks[0].prefix'}],
	},
	{
		name: 'rejects a duplicate endpoint that is written in another notation',
		change: {
			backendServers: ['::1', '0:0:0:0:0:0:0:1'].map((address, index) => ({
				name: `desk-${index}`, service: 'desk', site: 'south-site', address, port: 9001, slots: 4,
			})),
		},
		expected: [{code: 'address-in-use', path: 'backendServers[1].port'}],
	},
	{
		name: 'rejects a spill rule whose shift has other regions',
		change: {
			spillRules: [{
				name: 'back', service: 'desk', from: 'south', to: ['north'], shift: 'to-south',
			}],
		},
		expected: [{code: 'mismatched-shift', path: 'spillRules[0].shift'}],
	},
	{
		name: 'rejects a spill rule that lists a region twice',
		change: {
			spillRules: [{
				name: 'on', service: 'desk', from: 'north', to: ['south', 'south'],
			}],
		},
		expected: [{code: 'double-name', path: 'spillRules[0].to[1]'}],
	},
	{
		name: 'reports a bad shape together with cross-check faults, with positions in the input',
		change: {
			sites: [
				{name: 'North!', failureDomain: 'north-1'},
				{name: 'north-site', failureDomain: 'nowhere'},
				{name: 'south-site', failureDomain: 'south-1'},
				{name: 'south-site', failureDomain: 'south-1'},
			],
		},
		expected: [{code: 'bad-shape', path: 'sites[0].name'}, {code: 'double-name', path: 'sites[3].name'}, {code: 'unknown-name', path: 'sites[1].failureDomain'}],
	},
	{
		name: 'reports an object of bad shape, but not the references to it',
		change: {regions: [regionWithUnknownKey, {name: 'south'}]},
		expected: [{code: 'bad-shape', path: 'regions[0]'}],
	},
	{
		name: 'reports all faults of a set',
		change: {drains: [{name: 'stop', target: {kind: 'site', name: 'nowhere'}}], clientBlocks: [{prefix: '10.0.0.0/8', site: 'elsewhere'}]},
		expected: [{code: 'unknown-name', path: 'drains[0].target.name'}, {code: 'unknown-name', path: 'clientBlocks[0].site'}],
	},
];

describe('checkConfigurationSet', () => {
	for (const {name, change, expected} of cases) {
		it(name, () => {
			const faults = checkConfigurationSet({...validSet, ...change}).swap().orDefault([]);
			assert.deepEqual(faults.map(({code, path}) => ({code, path})), expected);
		});
	}
});
