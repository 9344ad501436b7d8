import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ObservationTable, ServerObservations} from '@pomelopick/steering.servers';
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';

interface RecordRequestOptions {
	readonly end?: SlotEnd;
	readonly heldMs?: number;
	readonly load?: ServerLoad;
	/** Monotonic time of the end, in milliseconds. */
	readonly nowMs?: number;
}

/** Records a request with an expected time of 100 ms, and its end. */
function recordRequest(observations: ServerObservations, {end = 'answered', heldMs = 100, load, nowMs = 0}: RecordRequestOptions = {}): void {
	const request = {expectedMs: 100, sentAtMs: nowMs - heldMs};
	observations.begin(request);
	observations.end({
		request, end, load, nowMs,
	});
}

describe('ServerObservations', () => {
	it('estimates the requests of other instances from the last load report of the server, with a weight that decays', () => {
		const observations = new ServerObservations();
		observations.begin({expectedMs: 100, sentAtMs: 0});
		recordRequest(observations, {load: {running: 4, waiting: 2, slots: 4}});
		assert.equal(observations.estimateInFlight(0), 1 + 5);
		assert.ok(observations.estimateInFlight(12_000) < 1.3);
	});

	it('estimates the load of other instances by the mean of the reports once the last report is old', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 40; answer += 1) {
			recordRequest(observations, {load: {running: 4, waiting: answer % 2 === 0 ? 0 : 4, slots: 4}});
		}

		// The reports alternate between 4 and 8 requests; the last one is 8.
		assert.equal(observations.estimateInFlight(0), 8);
		const later = observations.estimateInFlight(2500);
		assert.ok(later > 4 && later < 6, String(later));
	});

	it('raises the slowness of a server with slow responses, and lowers it with fast ones', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 20; answer += 1) {
			recordRequest(observations, {heldMs: 500});
		}

		assert.ok(observations.slownessAt(0) > 4.5);
		for (let answer = 0; answer < 20; answer += 1) {
			recordRequest(observations);
		}

		assert.ok(observations.slownessAt(0) < 1.2);
	});

	it('measures how slow a server is, whatever slowness the expected times take into account', () => {
		const observations = new ServerObservations();
		let nowMs = 0;
		for (let answer = 0; answer < 40; answer += 1) {
			const request = {expectedMs: 100 * observations.slownessAt(nowMs), sentAtMs: nowMs};
			observations.begin(request);
			nowMs += 900;
			observations.end({
				request, end: 'answered', load: undefined, nowMs,
			});
		}

		assert.ok(Math.abs(observations.measuredSlownessAt(nowMs) - 9) < 0.5, `measured ${observations.measuredSlownessAt(nowMs)}`);
		assert.ok(observations.slownessAt(nowMs) < 5, 'which the ratio to the expected time does not show');
	});

	it('lets the slowness of a server decay', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 20; answer += 1) {
			recordRequest(observations, {heldMs: 500});
		}

		assert.ok(observations.slownessAt(20_000) < 1.2);
	});

	it('raises the slowness of a server while a request to it is overdue', () => {
		const observations = new ServerObservations();
		observations.begin({expectedMs: 100, sentAtMs: 0});
		assert.equal(observations.slownessAt(200), 1);
		assert.equal(observations.slownessAt(800), 8);
	});

	it('knows the work factor of a server for some hundred milliseconds, and does not take a slow moment for a slow server', () => {
		const observations = new ServerObservations();
		assert.equal(observations.reportsWorkFactor, false);
		for (let answer = 0; answer < 20; answer += 1) {
			recordRequest(observations, {
				heldMs: 250, load: {
					running: 1, waiting: 0, slots: 4, workFactor: 2.5,
				},
			});
		}

		assert.equal(observations.workFactorAt(0), 2.5);
		assert.ok(observations.workFactorAt(300) < 1.6);
		assert.ok(observations.workFactorAt(1500) < 1.02);
		assert.equal(observations.slownessAt(0), 1);
	});

	it('forgets the work factor with a report of three values only as it decays', () => {
		const observations = new ServerObservations();
		recordRequest(observations, {
			load: {
				running: 1, waiting: 0, slots: 4, workFactor: 2,
			},
		});
		recordRequest(observations, {load: {running: 1, waiting: 0, slots: 4}});
		assert.equal(observations.workFactorAt(0), 2);
	});

	const healthLoads: ReadonlyArray<{name: string; load: ServerLoad; inFlight: number}> = [
		{
			name: 'applies the load of a health response that states the work factor', load: {
				running: 4, waiting: 2, slots: 4, workFactor: 1,
			}, inFlight: 6,
		},
		{name: 'ignores the load of a health response of three values', load: {running: 4, waiting: 2, slots: 4}, inFlight: 0},
	];
	for (const {name, load, inFlight} of healthLoads) {
		it(name, () => {
			const observations = new ServerObservations();
			observations.recordHealth({load, nowMs: 0});
			assert.equal(observations.estimateInFlight(0), inFlight);
		});
	}

	// Guards against a server that is avoided since one request of a few in a hundred takes several times as long, and against one that hangs and is not.
	it('takes a server that reports its work factor for slow while two requests are overdue, or one is for long', () => {
		const observations = new ServerObservations();
		recordRequest(observations, {
			load: {
				running: 1, waiting: 0, slots: 4, workFactor: 1,
			},
		});
		observations.begin({expectedMs: 100, sentAtMs: 0});
		assert.equal(observations.slownessAt(800), 1);
		assert.equal(observations.slownessAt(1600), 16);
		observations.begin({expectedMs: 100, sentAtMs: 0});
		assert.equal(observations.slownessAt(800), 8);
	});

	const pauses: ReadonlyArray<{name: string; ends: readonly SlotEnd[]; isPaused: boolean}> = [
		{name: 'a failed connection attempt', ends: ['connect-failed'], isPaused: true},
		{name: 'one failure', ends: ['failed'], isPaused: false},
		{name: 'two failures in a row', ends: ['failed', 'failed'], isPaused: true},
		{name: 'two failures with a response in between', ends: ['failed', 'answered', 'failed'], isPaused: false},
		{name: 'a request that was shed', ends: ['shed'], isPaused: true},
		{name: 'a request that timed out', ends: ['timed-out', 'timed-out'], isPaused: false},
	];
	for (const {name, ends, isPaused} of pauses) {
		it(`${isPaused ? 'pauses a server for a while' : 'does not pause a server'} after ${name}`, () => {
			const observations = new ServerObservations();
			for (const end of ends) {
				recordRequest(observations, {end});
			}

			assert.equal(observations.isPaused(10), isPaused);
			assert.equal(observations.isPaused(6000), false);
			assert.ok(observations.failureShare > 0);
		});
	}

	it('ignores the duration of a request that its caller cancelled', () => {
		const observations = new ServerObservations();
		recordRequest(observations, {end: 'cancelled', heldMs: 9000});
		assert.deepEqual({inFlight: observations.inFlight, failureShare: observations.failureShare, slowness: observations.slownessAt(0)}, {inFlight: 0, failureShare: 0, slowness: 1});
	});
});

describe('ObservationTable', () => {
	it('resets the observations when a server restarts under the same name', () => {
		const table = new ObservationTable();
		const name = 'one' as BackendServerName;
		const first = table.get({name, startedAtMs: 1});
		assert.equal(table.get({name, startedAtMs: 1}), first);
		assert.notEqual(table.get({name, startedAtMs: 2}), first);
	});
});
