import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ObservationTable, ServerObservations} from '@pomelopick/steering.servers';
import type {SlotEnd} from '@pomelopick/steering.choice';
import type {BackendServerName, ServerLoad} from '@pomelopick/core.types';

interface PlayOptions {
	readonly end?: SlotEnd;
	readonly heldMs?: number;
	readonly load?: ServerLoad;
	/** Monotonic time of the end, in milliseconds. */
	readonly nowMs?: number;
}

/** Sends a request that is expected to take 100 ms and ends it. */
function play(observations: ServerObservations, {end = 'answered', heldMs = 100, load, nowMs = 0}: PlayOptions = {}): void {
	const request = {expectedMs: 100, sentAtMs: nowMs - heldMs};
	observations.begin(request);
	observations.end({
		request, end, load, nowMs,
	});
}

describe('ServerObservations', () => {
	it('counts the requests of other instances by the last word of the server, less with time', () => {
		const observations = new ServerObservations();
		observations.begin({expectedMs: 100, sentAtMs: 0});
		play(observations, {load: {running: 4, waiting: 2, slots: 4}});
		assert.equal(observations.estimateInFlight(0), 1 + 5);
		assert.ok(observations.estimateInFlight(12_000) < 1.3);
	});

	it('takes the load of others to be as it mostly was once the last word on it is old', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 40; answer += 1) {
			play(observations, {load: {running: 4, waiting: answer % 2 === 0 ? 0 : 4, slots: 4}});
		}

		// By turns 4 and 8 requests, the answered one among them, the last time 8.
		assert.equal(observations.estimateInFlight(0), 8);
		const later = observations.estimateInFlight(2500);
		assert.ok(later > 4 && later < 6, String(later));
	});

	it('learns that a server is slow, and that it is no longer', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 20; answer += 1) {
			play(observations, {heldMs: 500});
		}

		assert.ok(observations.slownessAt(0) > 4.5);
		for (let answer = 0; answer < 20; answer += 1) {
			play(observations);
		}

		assert.ok(observations.slownessAt(0) < 1.2);
	});

	it('forgets with time that a server was slow', () => {
		const observations = new ServerObservations();
		for (let answer = 0; answer < 20; answer += 1) {
			play(observations, {heldMs: 500});
		}

		assert.ok(observations.slownessAt(20_000) < 1.2);
	});

	it('counts a server as slow while a request is overdue there', () => {
		const observations = new ServerObservations();
		observations.begin({expectedMs: 100, sentAtMs: 0});
		assert.equal(observations.slownessAt(200), 1);
		assert.equal(observations.slownessAt(800), 8);
	});

	const pauses: ReadonlyArray<{name: string; ends: readonly SlotEnd[]; isPaused: boolean}> = [
		{name: 'a connection that was not made', ends: ['connect-failed'], isPaused: true},
		{name: 'one answer that was lost', ends: ['failed'], isPaused: false},
		{name: 'two failures in a row', ends: ['failed', 'failed'], isPaused: true},
		{name: 'a failure after an answer', ends: ['failed', 'answered', 'failed'], isPaused: false},
		{name: 'a request that was shed', ends: ['shed'], isPaused: true},
		{name: 'a request that timed out', ends: ['timed-out', 'timed-out'], isPaused: false},
	];
	for (const {name, ends, isPaused} of pauses) {
		it(`${isPaused ? 'leaves a server alone' : 'goes on'} after ${name}, and tries again later`, () => {
			const observations = new ServerObservations();
			for (const end of ends) {
				play(observations, {end});
			}

			assert.equal(observations.isPaused(10), isPaused);
			assert.equal(observations.isPaused(6000), false);
			assert.ok(observations.failureShare > 0);
		});
	}

	it('learns nothing from a request that its caller gave up', () => {
		const observations = new ServerObservations();
		play(observations, {end: 'cancelled', heldMs: 9000});
		assert.deepEqual({inFlight: observations.inFlight, failureShare: observations.failureShare, slowness: observations.slownessAt(0)}, {inFlight: 0, failureShare: 0, slowness: 1});
	});
});

describe('ObservationTable', () => {
	it('begins anew when a server restarts under its name', () => {
		const table = new ObservationTable();
		const name = 'one' as BackendServerName;
		const first = table.get({name, startedAtMs: 1});
		assert.equal(table.get({name, startedAtMs: 1}), first);
		assert.notEqual(table.get({name, startedAtMs: 2}), first);
	});
});
