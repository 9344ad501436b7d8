import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fastCheck from 'fast-check';
import type {RouteName, ServiceName} from '@pomelopick/core.types';
import {DeadlineCheck} from '@pomelopick/steering.admission';
import type {CheckDeadlineOptions} from '@pomelopick/steering.admission';

const LEFT_MS = 1000;

const options = (changed: Partial<CheckDeadlineOptions>): CheckDeadlineOptions => ({
	service: 'ledger' as ServiceName, route: 'read' as RouteName, reliableTimes: {waitMs: 900, workMs: 400}, deadlineMs: LEFT_MS, isRetry: false, nowMs: 0, random: 0, ...changed,
});

/** A check that has just let a request through, so that the next one is no probe. */
function createCheck(): DeadlineCheck {
	const check = new DeadlineCheck();
	check.check(options({reliableTimes: undefined}));
	return check;
}

const cases: ReadonlyArray<{readonly name: string; readonly changed: Partial<CheckDeadlineOptions>; readonly retryAfterMs: number | undefined}> = [
	{name: 'refuses a request whose wait and work exceed the time left', changed: {}, retryAfterMs: 300},
	{name: 'refuses a request whose work alone exceeds the time left', changed: {reliableTimes: {waitMs: 0, workMs: 1500}}, retryAfterMs: 500},
	{name: 'spreads the return of callers', changed: {random: 0.5}, retryAfterMs: 375},
	{name: 'names no shorter time than callers should wait', changed: {reliableTimes: {waitMs: 601, workMs: 400}}, retryAfterMs: 200},
	{name: 'admits a request that just fits', changed: {reliableTimes: {waitMs: 600, workMs: 400}}, retryAfterMs: undefined},
	{name: 'admits a request whose times are unknown or doubtful', changed: {reliableTimes: undefined}, retryAfterMs: undefined},
	{name: 'admits a retry at a server with a free slot', changed: {reliableTimes: {waitMs: 0, workMs: 1500}, isRetry: true}, retryAfterMs: undefined},
	{name: 'refuses a retry that would wait too long', changed: {isRetry: true}, retryAfterMs: 300},
];

describe('DeadlineCheck', () => {
	for (const {name, changed, retryAfterMs} of cases) {
		it(name, () => {
			const refusal = createCheck().check(options(changed));
			assert.equal(refusal?.retryAfterMs, retryAfterMs);
			assert.equal(refusal?.reason, retryAfterMs === undefined ? undefined : 'deadline-unreachable');
		});
	}

	it('lets one of twenty refusable requests through, so that the estimates of a server that is fast again recover', () => {
		const check = createCheck();
		const admitted = Array.from({length: 200}, (_, index) => check.check(options({nowMs: index, deadlineMs: index + LEFT_MS}))).filter(refusal => refusal === undefined);
		assert.equal(admitted.length, 10);
	});

	it('lets a request through when none was let through for two seconds, as the estimates are old', () => {
		const check = createCheck();
		const refusals = [0, 1999, 2000, 2001].map(nowMs => check.check(options({nowMs, deadlineMs: nowMs + LEFT_MS})));
		assert.deepEqual(refusals.map(refusal => refusal?.reason), ['deadline-unreachable', 'deadline-unreachable', undefined, 'deadline-unreachable']);
	});

	it('keeps the probes of routes and services apart', () => {
		const check = createCheck();
		assert.equal(check.check(options({route: 'write' as RouteName})), undefined);
		assert.equal(check.check(options({service: 'mail' as ServiceName})), undefined);
		assert.equal(check.check(options({}))?.reason, 'deadline-unreachable');
	});

	it('never refuses what fits, whatever was refused before', () => {
		const time = fastCheck.nat({max: 5000});
		fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.record({
			waitMs: time, workMs: time, leftMs: time, stepMs: time,
		})), requests => {
			const check = new DeadlineCheck();
			let nowMs = 0;
			for (const {waitMs, workMs, leftMs, stepMs} of requests) {
				nowMs += stepMs;
				const refusal = check.check(options({reliableTimes: {waitMs, workMs}, nowMs, deadlineMs: nowMs + leftMs}));
				assert.ok(refusal === undefined || waitMs + workMs > leftMs);
			}
		}));
	});
});
