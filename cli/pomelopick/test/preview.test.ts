import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSet, StatusReport} from '@pomelopick/core.types';
import {
	addDrain, compareReports, EventMerger, previewChange, removeDrain, setShift,
} from '@pomelopick/cli.pomelopick';
import type {ChangeSet, FleetUse} from '@pomelopick/cli.pomelopick';

const set: ConfigurationSet = checkConfigurationSet({
	regions: [{name: 'north'}, {name: 'south'}],
	failureDomains: [{name: 'north-1', region: 'north'}, {name: 'south-1', region: 'south'}],
	sites: [{name: 'north-site', failureDomain: 'north-1'}, {name: 'south-site', failureDomain: 'south-1'}],
	services: [{name: 'desk'}],
	backendServers: ['north', 'south'].flatMap(region => [1, 2].map(number => ({
		name: `${region}-${number}`, service: 'desk', site: `${region}-site`, address: '127.0.0.1', port: (region === 'north' ? 9000 : 9100) + number, slots: 10,
	}))),
	spillRules: [{
		name: 'spill', service: 'desk', from: 'north', to: ['south'],
	}],
	shifts: [{
		name: 'to-south', service: 'desk', from: 'north', to: 'south', capCallsPerSecond: 100,
	}],
}).unsafeCoerce();

/** Load of both regions, in calls in progress; each call takes half a second. */
const useOf = (north: number, south: number): FleetUse => ({
	services: [
		{
			service: 'desk', region: 'north', callsInProgress: north, callsPerSecond: north * 2,
		},
		{
			service: 'desk', region: 'south', callsInProgress: south, callsPerSecond: south * 2,
		},
	],
	entries: [{id: 'entry-1', failureDomain: 'north-1', callsInProgress: north}, {id: 'entry-2', failureDomain: 'south-1', callsInProgress: south}],
});

const drainNorth = addDrain({target: {kind: 'failureDomain', name: 'north-1' as never}});
const drainSouth = addDrain({target: {kind: 'failureDomain', name: 'south-1' as never}});
const drainOne = addDrain({target: {kind: 'backendServer', name: 'north-1' as never}});

const cases: ReadonlyArray<{name: string; change: ChangeSet; use: FleetUse | undefined; expected: {slotsAfter: number[]; displaced: number; missing: number}}> = [
	{
		name: 'calls that fit in the remaining slots stay', change: drainOne, use: useOf(9, 0), expected: {slotsAfter: [10, 20], displaced: 0, missing: 0},
	},
	{
		name: 'calls that exceed the remaining slots move along the spill rule', change: drainOne, use: useOf(15, 0), expected: {slotsAfter: [10, 20], displaced: 5, missing: 0},
	},
	{
		name: 'all calls of a drained region move', change: drainNorth, use: useOf(18, 0), expected: {slotsAfter: [0, 20], displaced: 18, missing: 0},
	},
	{
		name: 'moved calls fill at most nine tenths of the target\'s slots', change: drainNorth, use: useOf(19, 0), expected: {slotsAfter: [0, 20], displaced: 19, missing: 1},
	},
	{
		name: 'calls in progress at the target reduce its free slots', change: drainNorth, use: useOf(10, 10), expected: {slotsAfter: [0, 20], displaced: 10, missing: 2},
	},
	{
		name: 'calls of a region without a spill rule are a shortage', change: drainSouth, use: useOf(0, 1), expected: {slotsAfter: [20, 0], displaced: 1, missing: 1 + 20},
	},
	{
		name: 'without a known load, only lost slots are checked', change: drainNorth, use: undefined, expected: {slotsAfter: [0, 20], displaced: 0, missing: 0},
	},
];

describe('previewChange', () => {
	for (const {name, change, use, expected} of cases) {
		it(name, () => {
			const {rows, shortages} = previewChange({before: set, after: change(set).unsafeCoerce(), use});
			assert.deepEqual({
				slotsAfter: rows.map(({slotsAfter}) => slotsAfter),
				displaced: rows.reduce((sum, {displaced}) => sum + displaced, 0),
				missing: shortages.reduce((sum, {missing}) => sum + missing, 0),
			}, expected);
		});
	}

	it('lists the shift caps that change', () => {
		const after = setShift({name: 'to-south', capCallsPerSecond: 40})(set).unsafeCoerce();
		assert.deepEqual(previewChange({before: set, after, use: undefined}).caps, [{shift: 'to-south', before: 100, after: 40}]);
	});
});

const linked: ConfigurationSet = {
	...set,
	links: [{
		name: 'north-south' as never, between: ['north', 'south'] as never, megabitsPerSecond: 0.08, oneWayMs: 1,
	}],
	services: set.services.map(service => ({...service, answerBytes: 1000})),
	shifts: [],
};
const newShift = (cap: number): ChangeSet => setShift({
	name: 'move', service: 'desk', from: 'north', to: 'south', capCallsPerSecond: cap,
});

interface ExpectedPreview {
	readonly links: ReadonlyArray<{readonly added: number; readonly share: number | undefined}>;
	readonly shiftMoves: ReadonlyArray<{readonly callsPerSecond: number; readonly slots: number}>;
	readonly entries: readonly string[];
	readonly shortages: readonly RegExp[];
}

const loadCases: ReadonlyArray<{name: string; before: ConfigurationSet; change: ChangeSet; use: FleetUse | undefined; expected: ExpectedPreview}> = [
	{
		name: 'displaced calls add load to their link, and entry instances of a drained failure domain are listed',
		before: linked,
		change: drainNorth,
		use: useOf(4, 0),
		expected: {
			links: [{added: 8000, share: 10_000}], shiftMoves: [], entries: ['entry-1'], shortages: [],
		},
	},
	{
		name: 'displaced calls that exceed the share of the link are a shortage',
		before: linked,
		change: drainNorth,
		use: useOf(8, 0),
		expected: {
			links: [{added: 16_000, share: 10_000}], shiftMoves: [], entries: ['entry-1'], shortages: [/the link from north to south would carry 16000 B\/s more; the service may use 10000/u],
		},
	},
	{
		name: 'a new shift moves calls up to its cap, and they occupy slots',
		before: linked,
		change: newShift(8),
		use: useOf(10, 0),
		expected: {
			links: [{added: 8000, share: 10_000}], shiftMoves: [{callsPerSecond: 8, slots: 4}], entries: [], shortages: [],
		},
	},
	{
		name: 'a shift moves no more calls than the region has',
		before: linked,
		change: newShift(1000),
		use: useOf(2, 0),
		expected: {
			links: [{added: 4000, share: 10_000}], shiftMoves: [{callsPerSecond: 4, slots: 2}], entries: [], shortages: [],
		},
	},
	{
		name: 'a shift to a region without enough free slots is a shortage',
		before: set,
		change: newShift(1000),
		use: useOf(10, 15),
		expected: {
			links: [{added: 81_920, share: undefined}],
			shiftMoves: [{callsPerSecond: 20, slots: 10}],
			entries: [],
			shortages: [/shift move brings 20\.0 calls\/s to south, about 10 slots; 3 are free/u],
		},
	},
	{
		name: 'without a known load, neither links nor shifts are checked',
		before: linked,
		change: newShift(1000),
		use: undefined,
		expected: {
			links: [], shiftMoves: [], entries: [], shortages: [],
		},
	},
];

describe('previewChange on links, shifts and entry instances', () => {
	for (const {name, before, change, use, expected} of loadCases) {
		it(name, () => {
			const {links, shiftMoves, entriesInDrainedDomains, shortages} = previewChange({before, after: change(before).unsafeCoerce(), use});
			assert.deepEqual({
				links: links.map(({addedBytesPerSecond: added, shareBytesPerSecond: share}) => ({added, share})),
				shiftMoves: shiftMoves.map(({callsPerSecond, slots}) => ({callsPerSecond, slots})),
				entries: entriesInDrainedDomains.map(({id}) => id),
			}, {links: expected.links, shiftMoves: expected.shiftMoves, entries: expected.entries});
			assert.equal(shortages.length, expected.shortages.length);
			for (const [index, pattern] of expected.shortages.entries()) {
				assert.match(shortages[index]!.detail, pattern);
			}
		});
	}
});

describe('compareReports', () => {
	it('computes rates by the uptime of each instance and ignores an instance that restarted in between', () => {
		const report = (instance: string, uptimeMs: number, callsPlaced: number): StatusReport => ({
			instance,
			failureDomain: 'north-1',
			uptimeMs,
			callsInProgress: 1,
			serviceUse: [{
				service: 'desk', region: 'north', callsInProgress: 1, callsPlaced,
			}],
		} as unknown as StatusReport);
		const {services} = compareReports({first: [report('a', 1000, 10), report('b', 9000, 500)], second: [report('a', 3000, 50), report('b', 500, 40)]});
		assert.deepEqual(services, [{
			service: 'desk', region: 'north', callsInProgress: 2, callsPerSecond: 20,
		}]);
	});
});

const refused: ReadonlyArray<{name: string; change: ChangeSet; code: string; message: RegExp}> = [
	{
		name: 'a second drain of the same target', change: addDrain({target: {kind: 'site', name: 'north-site' as never}}), code: 'already-drained', message: /drain-north-site/u,
	},
	{
		name: 'a drain that does not exist', change: removeDrain('nowhere'), code: 'unknown-name', message: /one of drain-north-site; found "nowhere"/u,
	},
	{
		name: 'a new shift without its required fields', change: setShift({name: 'new', from: 'north'}), code: 'bad-flag', message: /--service, --to, --cap/u,
	},
];

describe('changes of a configuration set', () => {
	const drained = addDrain({target: {kind: 'site', name: 'north-site' as never}})(set).unsafeCoerce();
	for (const {name, change, code, message} of refused) {
		it(`refuse ${name}`, () => {
			const error = change(drained).swap().unsafeCoerce();
			assert.equal(error.code, code);
			assert.match(error.message, message);
		});
	}

	it('remove a drain by the name of its target', () => {
		assert.deepEqual(removeDrain('north-site')(drained).unsafeCoerce(), set);
	});
});

describe('EventMerger', () => {
	it('returns each event once, ordered by time, instance and sequence number', () => {
		const merger = new EventMerger();
		const event = (sequence: number, atMs: number) => ({
			sequence, atMs, kind: 'store' as const, message: '', fields: {},
		});
		merger.add({instance: 'b', events: [event(1, 10), event(2, 30)]});
		merger.add({instance: 'a', events: [event(7, 20), event(8, 30)]});
		const order = merger.flush().map(({instance, sequence}) => `${instance}${sequence}`);
		merger.add({instance: 'b', events: [event(2, 30), event(3, 40)]});
		assert.deepEqual([order, merger.flush().map(({instance, sequence}) => `${instance}${sequence}`), merger.lastSequenceOf('a')], [['b1', 'a7', 'a8', 'b2'], ['b3'], 8]);
	});
});
