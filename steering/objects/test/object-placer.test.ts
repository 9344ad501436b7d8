import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {groupByRegion, rankObject} from '@pomelopick/steering.objects';
import type {ObjectPlacement, ObjectPlacer, PlacementEstimate} from '@pomelopick/steering.objects';
import type {InFlightRequest, ObservationTable, ServerTable} from '@pomelopick/steering.servers';
import type {BackendServerName, FailureDomainName, RegionName} from '@pomelopick/core.types';
import {
	createPlacer, createServers, route, service, SLOTS,
} from './fixture.js';

const regions = new Map([['north-a', 'north'], ['north-b', 'north'], ['south-a', 'south'], ['south-b', 'south']]) as unknown as ReadonlyMap<FailureDomainName, RegionName>;

interface Fixture {
	readonly placer: ObjectPlacer;
	readonly servers: ServerTable;
	readonly observations: ObservationTable;
	/** Monotonic times until which servers want no requests, in milliseconds. */
	readonly closedUntilMs: Map<BackendServerName, number>;
	readonly place: (options?: {readonly object?: string; readonly homes?: readonly string[]; readonly avoid?: readonly string[]; readonly nowMs?: number}) => ObjectPlacement | undefined;
}

function createFixture(counts: Readonly<Record<string, number>>): Fixture {
	const closedUntilMs = new Map<BackendServerName, number>();
	const {placer, servers, observations} = createPlacer({
		counts,
		regions,
		mayTakeRate: ({known, nowMs}) => known.coldUntilMs <= nowMs,
		unavailableUntilMs: ({server}) => closedUntilMs.get(server.name),
		random: () => 0.5,
	});
	return {
		placer, servers, observations, closedUntilMs, place({object = 'x', homes = [], avoid = [], nowMs = 0} = {}) {
			return placer.place({
				route: {...route, homeRegions: homes as RegionName[]}, service, object, avoid: new Set(avoid) as unknown as ReadonlySet<BackendServerName>, deadlineMs: nowMs + 1500, nowMs,
			}).toMaybe().extract();
		},
	};
}

const regionOf = (placement: ObjectPlacement | undefined): string | undefined => placement && regions.get(placement.known.server.failureDomain);
const addRequests = ({observations}: Fixture, placement: ObjectPlacement, count: number): readonly InFlightRequest[] => {
	const requests = Array.from({length: count}, () => ({expectedMs: 1000, sentAtMs: 0}));
	for (const request of requests) {
		observations.get(placement.known.server).begin(request);
	}

	return requests;
};

const evenCounts = {
	'north-a': 3, 'north-b': 3, 'south-a': 3, 'south-b': 3,
};

describe('ObjectPlacer', () => {
	it('sends an object to the same server of its region every time', () => {
		const fixture = createFixture(evenCounts);
		const names = new Set(Array.from({length: 20}, () => fixture.place()!.known.server.name));
		assert.equal(names.size, 1);
		assert.equal(regionOf(fixture.place()), 'north');
	});

	it('chooses the same server at instances that have the same servers', () => {
		for (let object = 0; object < 20; object += 1) {
			assert.equal(createFixture(evenCounts).place({object: String(object)})!.known.server.name, createFixture(evenCounts).place({object: String(object)})!.known.server.name);
		}
	});

	it('keeps the server of an object while it is busy, and refuses a request rather than send it to another server of the region', () => {
		const fixture = createFixture(evenCounts);
		const first = fixture.place()!;
		addRequests(fixture, first, SLOTS);
		assert.equal(fixture.place()!.known.server.name, first.known.server.name);
		addRequests(fixture, first, 10 * SLOTS);
		assert.equal(fixture.place(), undefined);
		const other = Array.from({length: 20}, (_, index) => fixture.place({object: String(index)})).find(placement => placement && placement.known.server.name !== first.known.server.name);
		assert.equal(other?.waitMs, 0, 'requests for objects of other servers are still placed');
	});

	it('refuses at once, with a retry time, when all servers have long queues', () => {
		const fixture = createFixture({'north-a': 1});
		addRequests(fixture, fixture.place()!, 40 * SLOTS);
		const refusal = fixture.placer.place({
			route, service, object: 'x', avoid: new Set(), deadlineMs: 1500, nowMs: 0,
		}).swap().toMaybe().extract();
		assert.equal(refusal?.reason, 'queue-timeout');
		assert.ok((refusal?.retryAfterMs ?? 0) >= 200);
	});

	it('tells the admission decision no reliable times before enough responses, and none from a single overdue request', () => {
		const fixture = createFixture({'north-a': 1});
		const estimates: PlacementEstimate[] = [];
		const placement = fixture.place()!;
		const admit = (estimate: PlacementEstimate): undefined => {
			estimates.push(estimate);
		};

		const estimate = (nowMs: number): PlacementEstimate => {
			fixture.placer.place({
				route, service, object: 'x', avoid: new Set(), deadlineMs: nowMs + 1500, admit, nowMs,
			});
			return estimates.at(-1)!;
		};

		for (let answers = 0; answers < 5; answers += 1) {
			assert.equal(estimate(0).reliableTimes, undefined);
			fixture.placer.recordAnswer({
				route, object: 'x', placement, heldMs: 200, nowMs: 0,
			});
		}

		assert.deepEqual(estimate(0).reliableTimes, {waitMs: 0, workMs: 200});
		addRequests(fixture, placement, 1);
		const overdue = estimate(6000);
		assert.ok(overdue.expectedMs > 1000, 'the server counts as slow');
		assert.ok(Math.abs(overdue.reliableTimes!.workMs - 200) < 1);
	});

	it('returns the refusal of the admission decision', () => {
		const refusal = {reason: 'deadline-unreachable', detail: 'no room', retryAfterMs: 700} as const;
		const refused = createFixture({'north-a': 1}).placer.place({
			route, service, object: 'x', avoid: new Set(), deadlineMs: 1500, admit: () => refusal, nowMs: 0,
		});
		assert.deepEqual(refused.swap().toMaybe().extract(), refusal);
	});

	it('sends nothing to a server that wants no requests, and uses the next one in the ranking at once', () => {
		const fixture = createFixture(evenCounts);
		const first = fixture.place()!;
		fixture.closedUntilMs.set(first.known.server.name, Number.POSITIVE_INFINITY);
		const second = fixture.place()!;
		assert.notEqual(second.known.server.name, first.known.server.name);
		assert.equal(regionOf(second), 'north');
		assert.equal(fixture.place()!.known.server.name, second.known.server.name);
		fixture.closedUntilMs.delete(first.known.server.name);
		assert.equal(fixture.place()!.known.server.name, first.known.server.name);
	});

	const closings: ReadonlyArray<{name: string; untilMs: readonly number[]; reason: string; minMs: number; maxMs: number}> = [
		{
			name: 'all servers are paused', untilMs: [3000, 5000], reason: 'backend-paused', minMs: 3000, maxMs: 5000,
		},
		{
			name: 'one server is leaving and one is paused', untilMs: [Number.POSITIVE_INFINITY, 4000], reason: 'backend-paused', minMs: 4000, maxMs: 6000,
		},
		{
			name: 'all servers are leaving', untilMs: [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY], reason: 'no-backend-server', minMs: 200, maxMs: 1000,
		},
	];
	for (const {name, untilMs, reason, minMs, maxMs} of closings) {
		it(`refuses at once when ${name}, with a time at which a server may be available`, () => {
			const fixture = createFixture({'north-a': 1, 'south-a': 1});
			for (const [index, server] of ['north-a-0', 'south-a-0'].entries()) {
				fixture.closedUntilMs.set(server as BackendServerName, untilMs[index]!);
			}

			const refusal = fixture.placer.place({
				route, service, object: 'x', avoid: new Set(), deadlineMs: 1500, nowMs: 0,
			}).swap().toMaybe().extract();
			assert.equal(refusal?.reason, reason);
			assert.ok(refusal.retryAfterMs >= minMs && refusal.retryAfterMs <= maxMs, String(refusal.retryAfterMs));
		});
	}

	it('uses the home regions only, also when they have no servers', () => {
		const fixture = createFixture(evenCounts);
		for (let object = 0; object < 20; object += 1) {
			assert.equal(regionOf(fixture.place({object: String(object), homes: ['south']})), 'south');
		}

		assert.equal(createFixture({'north-a': 2}).place({homes: ['south']}), undefined);
	});

	it('uses another region when its own has no servers', () => {
		assert.equal(regionOf(createFixture({'south-a': 2}).place()), 'south');
	});

	it('avoids servers that were tried, are paused or are warming up', () => {
		const fixture = createFixture({'north-a': 3});
		const first = fixture.place()!;
		const second = fixture.place({avoid: [first.known.server.name]})!;
		assert.notEqual(second.known.server.name, first.known.server.name);
		const request = {expectedMs: 1, sentAtMs: 0};
		fixture.observations.get(second.known.server).begin(request);
		fixture.observations.get(second.known.server).end({
			request, end: 'connect-failed', load: undefined, nowMs: 0,
		});
		const third = fixture.place({avoid: [first.known.server.name], nowMs: 50})!;
		assert.notEqual(third.known.server.name, second.known.server.name);
		assert.equal(fixture.place({avoid: [first.known.server.name, third.known.server.name], nowMs: 50})!.known.server.name, second.known.server.name, 'a paused server is better than none');
		fixture.servers.write({server: {...third.known.server, warmupLeftMs: 3000, heartbeat: 2}, nowMs: 50});
		assert.equal(fixture.place({avoid: [first.known.server.name, second.known.server.name], nowMs: 60}), undefined);
	});

	it('keeps one server for each object under load, however many objects there are', () => {
		const fixture = createFixture({'north-a': 2, 'north-b': 2});
		const objects = Array.from({length: 100}, (_, index) => String(index));
		for (const object of objects) {
			fixture.place({object});
		}

		for (const object of objects) {
			const first = fixture.place({object})!;
			const requests = addRequests(fixture, first, 3 * SLOTS);
			// There are 25 objects for each server.
			assert.equal(fixture.place({object})?.known.server.name ?? first.known.server.name, first.known.server.name);
			for (const request of requests) {
				fixture.observations.get(first.known.server).end({
					request, end: 'cancelled', load: undefined, nowMs: 0,
				});
			}
		}
	});

	it('uses the next server in the ranking while requests to the first one are overdue, and tries the first one again later', () => {
		const fixture = createFixture({'north-a': 1, 'north-b': 1});
		for (let object = 0; object < 60; object += 1) {
			fixture.place({object: String(object)});
		}

		const first = fixture.place()!;
		const request = {expectedMs: 200, sentAtMs: 0};
		fixture.observations.get(first.known.server).begin(request);
		assert.notEqual(fixture.place({nowMs: 1400})!.known.server.name, first.known.server.name);
		fixture.observations.get(first.known.server).end({
			request, end: 'timed-out', load: undefined, nowMs: 1500,
		});
		assert.equal(fixture.place({nowMs: 20_000})!.known.server.name, first.known.server.name);
	});

	it('sends a share of the objects to another region from the start when the region has a smaller share of the servers than of the callers', () => {
		const fixture = createFixture({'north-a': 1, 'south-a': 4, 'south-b': 4});
		const away = Array.from({length: 200}, (_, index) => regionOf(fixture.place({object: String(index)}))).filter(region => region === 'south').length;
		// The region has a ninth of the servers and half of the callers: seven of nine objects leave it.
		assert.ok(away > 130 && away < 180, String(away));
	});
});

describe('rankObject', () => {
	it('moves only the objects of a server that is removed', () => {
		const servers = createServers(evenCounts).listUsable(service);
		const firstOf = (list: typeof servers, object: string): string | undefined =>
			rankObject({object, groups: groupByRegion({servers: list, regionOf: () => 'all' as RegionName})}).regions[0]?.servers[0]?.server.name;
		const removed = servers[3]!.server.name;
		const remaining = servers.filter(known => known.server.name !== removed);
		for (let object = 0; object < 200; object += 1) {
			const before = firstOf(servers, String(object));
			if (before !== removed) {
				assert.equal(firstOf(remaining, String(object)), before);
			}
		}
	});

	it('gives all servers about the same number of objects', () => {
		const servers = createServers(evenCounts).listUsable(service);
		const groups = groupByRegion({servers, regionOf: () => 'all' as RegionName});
		const counts = new Map<string, number>();
		for (let object = 0; object < 6000; object += 1) {
			const {name} = rankObject({object: `read\0${object}`, groups}).regions[0]!.servers[0]!.server;
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		assert.equal(counts.size, servers.length);
		assert.ok([...counts.values()].every(count => count > 400 && count < 600), JSON.stringify([...counts]));
	});
});
