import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ObjectPlacement} from '@pomelopick/steering.objects';
import type {
	BackendServerName, FailureDomainName, RegionName, ServerLoad,
} from '@pomelopick/core.types';
import {
	createPlacer, route, service, SLOTS,
} from './fixture.js';

const regions = new Map([['north-a', 'north'], ['south-a', 'south'], ['west-a', 'west']]) as unknown as ReadonlyMap<FailureDomainName, RegionName>;
const IDLE: ServerLoad = {running: 1, waiting: 0, slots: SLOTS};

/** Draws of numbers from 0 up to 1 that take all of so many values in turn. */
function drawInTurn(count: number): () => number {
	let draws = 0;
	return () => {
		draws += 1;
		return draws % count / count;
	};
}

function createFixture({counts, failureDomain = 'north-a', random = () => 0}: {readonly counts: Readonly<Record<string, number>>; readonly failureDomain?: string; readonly random?: () => number}) {
	const {placer, servers, observations} = createPlacer({
		counts, regions, domain: failureDomain, random,
	});
	const place = ({object = 'x', hasObject = true, homes = [], nowMs = 0}: {readonly object?: string; readonly hasObject?: boolean; readonly homes?: readonly string[]; readonly nowMs?: number} = {}): ObjectPlacement => placer.place({
		route: {...route, homeRegions: homes as RegionName[]}, service, object: hasObject ? object : undefined, avoid: new Set(), deadlineMs: nowMs + 1500, nowMs,
	}).unsafeCoerce();
	/** Ends a request to a server with a load report. */
	const report = ({placement, load, heldMs = 100, nowMs = 0}: {readonly placement: ObjectPlacement; readonly load: ServerLoad; readonly heldMs?: number; readonly nowMs?: number}): void => {
		const request = {expectedMs: placement.expectedMs, sentAtMs: nowMs - heldMs};
		const observed = observations.get(placement.known.server);
		observed.begin(request);
		observed.end({
			request, end: 'answered', load, nowMs,
		});
		placer.recordAnswer({
			route, object: 'x', placement, heldMs, workFactor: load.workFactor, nowMs,
		});
	};

	const reportAll = (load: ServerLoad): void => {
		for (const known of servers.listUsable(service)) {
			report({
				placement: {
					known, isWarm: true, waitMs: 0, expectedMs: 100, workFactor: 1,
				}, load,
			});
		}
	};

	return {
		place, report, reportAll, observations, servers,
	};
}

const regionOf = ({known: {server}}: ObjectPlacement): string => regions.get(server.failureDomain)!;
const unevenCounts = {'north-a': 28, 'south-a': 34, 'west-a': 7};

describe('ObjectPlacer with servers that report their work factor', () => {
	const bounds: ReadonlyArray<{name: string; workFactor?: number; inFlight: number; passesOn: boolean}> = [
		{
			name: 'passes an object on from a server above its share of the load', workFactor: 1, inFlight: 7, passesOn: true,
		},
		{
			name: 'keeps an object at a server with free slots', workFactor: 1, inFlight: 3, passesOn: false,
		},
		{name: 'keeps an object at any server without such reports', inFlight: 7, passesOn: false},
	];
	for (const {name, workFactor, inFlight, passesOn} of bounds) {
		it(name, () => {
			const {place, report, reportAll} = createFixture({counts: {'north-a': 8}});
			const factor = workFactor === undefined ? {} : {workFactor};
			reportAll({...IDLE, ...factor});
			const first = place();
			report({
				placement: first, load: {
					running: SLOTS, waiting: inFlight - SLOTS + 1, slots: SLOTS, ...factor,
				},
			});
			assert.equal(place().known.server.name !== first.known.server.name, passesOn);
		});
	}

	it('divides the requests for an object that alone would overload a server among several', () => {
		const {place, reportAll} = createFixture({counts: {'north-a': 40}, random: drawInTurn(4)});
		reportAll({...IDLE, workFactor: 1});
		const count = ({object, requests}: {readonly object: string; readonly requests: number}): number => new Set(Array.from({length: requests}, () => place({object}).known.server.name)).size;
		for (let request = 0; request < 400; request += 1) {
			place({object: String(request)});
		}

		assert.equal(count({object: 'rare', requests: 2}), 1);
		for (let request = 0; request < 40; request += 1) {
			place({object: 'frequent'});
		}

		assert.ok(count({object: 'frequent', requests: 4}) >= 3);
	});

	// Guards against all instances sending requests without an object to the same server while they know nothing of it.
	it('spreads requests without an object over the servers', () => {
		const {place, reportAll} = createFixture({counts: {'north-a': 10}, random: drawInTurn(10)});
		reportAll({...IDLE, workFactor: 1});
		assert.equal(new Set(Array.from({length: 10}, () => place({hasObject: false}).known.server.name)).size, 10);
	});

	it('expects more time at a server that is slow at the moment', () => {
		const {place, report, reportAll} = createFixture({counts: {'north-a': 1}});
		for (let answer = 0; answer < 50; answer += 1) {
			reportAll({...IDLE, workFactor: 1});
		}

		const before = place().expectedMs;
		report({placement: place(), load: {...IDLE, workFactor: 2}, heldMs: 200});
		assert.ok(place().expectedMs > before * 1.8 && place({nowMs: 3000}).expectedMs < before * 1.2);
	});

	it('does not take a server for slow after one request that takes seven times as long, nor change the expectation of its route', () => {
		const {place, report, reportAll, observations} = createFixture({counts: {'north-a': 1}});
		for (let answer = 0; answer < 50; answer += 1) {
			reportAll({...IDLE, workFactor: 1});
		}

		const placement = place();
		const before = placement.expectedMs;
		report({placement, load: {...IDLE, workFactor: 1}, heldMs: before * 7});
		assert.ok(observations.get(placement.known.server).slownessAt(0) < 1.5);
		assert.ok(place().expectedMs < before * 1.5);
	});
});

describe('ObjectPlacer with regions of uneven slots', () => {
	it('spreads the requests of a region with few slots over all regions from the first report of a work factor on', () => {
		const {place, reportAll} = createFixture({counts: unevenCounts, failureDomain: 'west-a'});
		reportAll({...IDLE, workFactor: 1});
		const counts = new Map<string, number>();
		for (let object = 0; object < 1000; object += 1) {
			const name = regionOf(place({object: String(object)}));
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		// By its slots, the region keeps 0.304 and sends 0.218 and 0.478.
		assert.ok(Math.abs(counts.get('west')! - 304) < 60 && Math.abs(counts.get('north')! - 218) < 60 && Math.abs(counts.get('south')! - 478) < 60, JSON.stringify([...counts]));
	});

	it('stays in the home regions of a route', () => {
		const {place, reportAll} = createFixture({counts: unevenCounts, failureDomain: 'west-a'});
		reportAll({...IDLE, workFactor: 1});
		const placed = new Set(Array.from({length: 100}, (_, object) => regionOf(place({object: String(object), homes: ['west', 'north']}))));
		assert.deepEqual(placed, new Set(['west', 'north']));
		assert.equal(regionOf(place({homes: ['west']})), 'west');
	});

	// Guards against a change of how even regions are placed whenever one of them loses most of its servers.
	it('does not spread the requests of even regions when one loses most of its servers', () => {
		const {place, servers} = createFixture({counts: {'north-a': 20, 'south-a': 20, 'west-a': 20}, failureDomain: 'west-a'});
		place();
		for (let number = 0; number < 18; number += 1) {
			servers.remove({name: `west-a-${number}` as BackendServerName, retainUntilMs: undefined});
		}

		assert.deepEqual(new Set(Array.from({length: 100}, (_, object) => regionOf(place({object: String(object)})))), new Set(['west']));
	});

	it('keeps the requests of a region with enough slots', () => {
		const {place} = createFixture({counts: unevenCounts});
		assert.deepEqual(new Set(Array.from({length: 100}, (_, object) => regionOf(place({object: String(object)})))), new Set(['north']));
	});
});
