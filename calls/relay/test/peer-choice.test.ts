import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PeerChoice} from '@pomelopick/calls.relay';
import type {Peer} from '@pomelopick/calls.relay';
import type {InstanceId, RegionName} from '@pomelopick/core.types';

const ids = (...names: readonly string[]): ReadonlySet<InstanceId> => new Set(names.map(name => name as InstanceId));
const regionsOf = (...names: readonly string[]): readonly RegionName[] => names.map(name => name as RegionName);

function peer(id: string, region: string, hasListener = true): Peer {
	return {id: id as InstanceId, region: region as RegionName, peers: hasListener ? {address: '10.0.0.1', port: 80} : undefined};
}

const self = peer('self', 'north');
const near = peer('near', 'north');
const far = peer('far', 'south');
const farther = peer('farther', 'west');

interface Case {
	readonly name: string;
	readonly instances: readonly Peer[];
	readonly tried?: ReadonlySet<InstanceId>;
	readonly homeRegions?: readonly RegionName[];
	/** Number of headers of the request. */
	readonly headers?: number;
	/** Instances that could not help, and how often in a row. */
	readonly unable?: ReadonlyMap<string, number>;
	/** Time since then, in milliseconds. */
	readonly afterMs?: number;
	readonly expected: string | undefined;
}

const cases: readonly Case[] = [
	{name: 'chooses no instance when there is only this one', instances: [self], expected: undefined},
	{name: 'chooses one of its region', instances: [self, far, near], expected: 'near'},
	{name: 'chooses one of another region when there is none of its own', instances: [self, far], expected: 'far'},
	{
		name: 'chooses one of another region after one of its own could not help', instances: [self, near, peer('near-2', 'north'), far], tried: ids('near'), expected: 'far',
	},
	{
		name: 'chooses none that the request was forwarded to before', instances: [self, near, far], tried: ids('near', 'far'), expected: undefined,
	},
	{name: 'chooses none without a listener', instances: [self, peer('near', 'north', false), far], expected: 'far'},
	{
		name: 'chooses one of the home regions only', instances: [self, near, far, farther], homeRegions: regionsOf('west'), expected: 'farther',
	},
	{
		name: 'chooses none when there is none in the home regions', instances: [self, near, far], homeRegions: regionsOf('west'), expected: undefined,
	},
	{
		name: 'chooses none that could not help a moment ago', instances: [self, near, far], unable: new Map([['near', 1]]), afterMs: 900, expected: 'far',
	},
	{
		name: 'chooses one that could not help a second ago', instances: [self, near, far], unable: new Map([['near', 1]]), afterMs: 1100, expected: 'near',
	},
	{
		name: 'chooses one of an older build for a request with few headers', instances: [self, near], headers: 900, expected: 'near',
	},
	{
		name: 'chooses none of an older build, which would drop headers', instances: [self, near], headers: 1000, expected: undefined,
	},
	{
		name: 'chooses one that states that it reads so many headers', instances: [self, {...near, maxHeaders: 2000}], headers: 1900, expected: 'near',
	},
	{
		name: 'chooses none that states that it reads fewer headers', instances: [self, {...near, maxHeaders: 2000}], headers: 2000, expected: undefined,
	},
	{
		name: 'waits longer for one that could not help twice in a row', instances: [self, near, far], unable: new Map([['near', 2]]), afterMs: 1900, expected: 'far',
	},
];

describe('PeerChoice', () => {
	for (const {name, instances, tried = ids(), homeRegions = [], headers = 10, unable = new Map<string, number>(), afterMs = 0, expected} of cases) {
		it(name, () => {
			const choice = new PeerChoice({
				self: self.id, region: self.region, instances: () => instances, random: () => 0,
			});
			let nowMs = 0;
			for (const [id, times] of unable) {
				for (let time = 0; time < times; time += 1) {
					nowMs += time * 1001;
					choice.recordUnable({id: id as InstanceId, nowMs});
				}
			}

			const chosen = choice.choose({
				route: {homeRegions}, headers, tried, nowMs: nowMs + afterMs,
			});
			assert.equal(chosen?.id, expected);
		});
	}
});
