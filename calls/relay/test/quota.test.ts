/** Permits of an organisation's quota, over the attempts of one request. */
import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import type {Refusal} from '@pomelopick/core.types';
import type {RetryPermit} from '@pomelopick/calls.relay';
import {createScriptedRun, settle} from './scripted-run.js';
import type {ScriptedParts} from './scripted-run.js';

const HEDGE_AFTER_MS = 100;
const exceeded: Refusal = {
	reason: 'quota-exceeded', execution: 'not-run', detail: 'scripted', retryAfterMs: 40,
};
const shed = {status: 503, headers: {'not-run': '1', stamp: 'server-0'}};

/** Starts a request whose organisation has some permits left, and counts what becomes of them. */
function start({permits, ...scripted}: Pick<ScriptedParts, 'repeatability' | 'targetLatencyMs' | 'isForwarded'> & {readonly permits: number}) {
	const counts = {asked: 0, ended: 0, returned: 0};
	const permit: RetryPermit = {
		end() {
			counts.ended += 1;
		},
		giveBack() {
			counts.returned += 1;
		},
	};
	const {run, sends, request} = createScriptedRun({
		...scripted, quotaPermit() {
			counts.asked += 1;
			return counts.asked <= permits ? permit : exceeded;
		},
	});
	return {
		run, sends, request, counts, result: run.run(),
	};
}

describe('the quota of an organisation', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	it('refuses a request without a permit before anything is sent, with the time to come back', async () => {
		const {sends, result, counts} = start({repeatability: 'idempotent', permits: 0});
		const ended = await result;
		assert.deepEqual(ended.swap().unsafeCoerce(), exceeded);
		assert.equal(sends.length, 0);
		assert.deepEqual(counts, {asked: 1, ended: 0, returned: 0});
	});

	it('takes one permit for sends to several servers of which the first did not run the request', async () => {
		const {sends, run, result, counts} = start({repeatability: 'at-most-once', permits: 1});
		await settle();
		sends[0]!.failToConnect();
		await settle();
		await sends[1]!.connect();
		sends[1]!.respond(shed);
		await settle();
		run.expire();
		await result;
		assert.equal(counts.asked, 1);
		assert.equal(counts.returned, 1);
	});

	// Guards against a refusal as not run, 429, of a request that may have run.
	it('ends a request that may have run and has no permit for another send, and does not say that it did not run', async () => {
		const {sends, result, counts} = start({repeatability: 'idempotent', permits: 1});
		await settle();
		await sends[0]!.connect();
		sends[0]!.drop();
		await settle();
		const ended = await result;
		const {reason, execution} = ended.swap().unsafeCoerce();
		assert.deepEqual({reason, execution}, {reason: 'backend-failed', execution: 'unknown'});
		assert.deepEqual(counts, {asked: 2, ended: 1, returned: 0});
	});

	it('takes a permit for a hedged send, which is left out without one', async () => {
		for (const [permits, expected] of [[1, 1], [2, 2]] as const) {
			const {sends, run, result} = start({repeatability: 'idempotent', targetLatencyMs: HEDGE_AFTER_MS, permits});
			await settle();
			await sends[0]!.connect();
			mock.timers.tick(HEDGE_AFTER_MS);
			await settle();
			assert.equal(sends.length, expected);
			run.expire();
			await result;
		}
	});

	it('gets the permit back when the request was never sent', async () => {
		const {run, result, counts} = start({repeatability: 'idempotent', permits: 1});
		await settle();
		run.leave();
		await result;
		await settle();
		assert.deepEqual(counts, {asked: 1, ended: 0, returned: 1});
	});

	it('is not asked for a request that another instance forwarded', async () => {
		const {sends, run, result, counts} = start({repeatability: 'idempotent', permits: 0, isForwarded: true});
		await settle();
		assert.equal(sends.length, 1);
		run.expire();
		await result;
		assert.equal(counts.asked, 0);
	});
});
