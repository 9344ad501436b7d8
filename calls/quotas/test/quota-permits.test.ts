/** How an instance asks owners for permits. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Left, Right} from 'purify-ts';
import {QuotaPermits} from '@pomelopick/calls.quotas';
import type {AskQuotaOptions, QuotaOutcome, QuotaPermit} from '@pomelopick/calls.quotas';
import {ServedCounters} from '@pomelopick/core.telemetry';
import type {InstanceId, OrganisationName} from '@pomelopick/core.types';

const organisation = 'a' as OrganisationName;
const other = 'b' as OrganisationName;

interface Scripted {
	/** Permits that each owner has left, by shard; a text is the code of a failure. */
	readonly owners: Array<number | string>;
	/** Distances: whether the owner is in the same failure domain, by shard. */
	readonly near?: readonly number[];
}

function create({owners, near = []}: Scripted) {
	const asked: Array<AskQuotaOptions['request']> = [];
	const clock = {nowMs: 1000};
	const permits = new QuotaPermits({
		instance: 'self',
		offset: 0,
		findOwner: shard => ({
			id: `owner-${shard}` as InstanceId, peers: {address: '127.0.0.1', port: shard + 1}, isSelf: false, isSameFailureDomain: near.includes(shard), isSameRegion: false,
		}),
		grantOwn: () => undefined,
		async ask({request}) {
			asked.push(request);
			const left = owners[request.shard]!;
			if (typeof left === 'string') {
				return Left({code: left, message: 'scripted'});
			}

			return Right({
				grants: request.asks.map(ask => {
					const granted = Math.min(ask.permits, left);
					owners[request.shard] = left - granted;
					return {organisation: ask.organisation, permits: granted, retryAfterMs: granted === ask.permits ? 0 : 100};
				}),
			});
		},
		counters: new ServedCounters(),
		now: () => clock.nowMs,
	});
	return {permits, asked, clock};
}

function kindOf(outcome: QuotaOutcome): string {
	return 'reason' in outcome ? outcome.reason : 'granted';
}

describe('permits of an instance', () => {
	it('are asked for at the nearest owner first, then at the others until one has some', async () => {
		const {permits, asked} = create({owners: [0, 0, 0, 1], near: [2]});
		assert.equal(kindOf(await permits.take(organisation)), 'granted');
		assert.deepEqual(asked.map(({shard}) => shard), [2, 0, 1, 3]);
	});

	it('are refused with the earliest time of any owner when all have none, and no owner is asked before its time', async () => {
		const {permits, asked, clock} = create({owners: [0, 0, 0, 0]});
		assert.deepEqual(await permits.take(organisation), {reason: 'quota-exceeded', retryAfterMs: 100});
		clock.nowMs += 60;
		assert.deepEqual(await permits.take(organisation), {reason: 'quota-exceeded', retryAfterMs: 40});
		assert.equal(asked.length, 4);
		clock.nowMs += 40;
		await permits.take(organisation);
		assert.equal(asked.length, 8);
	});

	it('are unavailable when no owner answers, and each is asked again after a while', async () => {
		const {permits, asked, clock} = create({owners: Array.from({length: 4}, () => 'quota-not-answered')});
		assert.equal(kindOf(await permits.take(organisation)), 'quota-unavailable');
		assert.equal(kindOf(await permits.take(organisation)), 'quota-unavailable');
		assert.equal(asked.length, 4);
		clock.nowMs += 500;
		await permits.take(organisation);
		assert.equal(asked.length, 8);
	});

	// Guards against a message for each request to instances of the build before, which answer 404.
	it('are not asked for at an instance of a build without quotas for a minute', async () => {
		const {permits, asked, clock} = create({owners: ['quota-unsupported', 9, 9, 9]});
		await permits.take(organisation);
		clock.nowMs += 59_000;
		await permits.take(organisation);
		assert.equal(asked.filter(({shard}) => shard === 0).length, 1);
		clock.nowMs += 1000;
		await permits.take(organisation);
		assert.equal(asked.filter(({shard}) => shard === 0).length, 2);
	});

	it('are asked for in one message by requests that wait at the same moment', async () => {
		const {permits, asked} = create({owners: [64, 0, 0, 0]});
		const outcomes = await Promise.all([permits.take(organisation), permits.take(other), permits.take(organisation), permits.take(other)]);
		assert.deepEqual(outcomes.map(outcome => kindOf(outcome)), ['granted', 'granted', 'granted', 'granted']);
		assert.equal(asked[0]!.asks.length, 2);
		assert.ok(asked.length <= 2, `${asked.length} messages`);
	});

	it('are used again when the request did not run, until they expire', async () => {
		const {permits, asked, clock} = create({owners: [1, 0, 0, 0]});
		const first = await permits.take(organisation) as QuotaPermit;
		first.giveBack();
		clock.nowMs += 499;
		const second = await permits.take(organisation) as QuotaPermit;
		assert.equal(asked.length, 1);
		second.giveBack();
		clock.nowMs += 1;
		assert.equal(kindOf(await permits.take(organisation)), 'quota-exceeded');
	});

	// Guards against permits that are used long after the window that they belong to: the monotonic clock may stand still.
	it('are dropped by a suspension, also those that are given back after it', async () => {
		const {permits} = create({owners: [2, 0, 0, 0]});
		const taken = await permits.take(organisation) as QuotaPermit;
		permits.clear();
		taken.giveBack();
		assert.equal(kindOf(await permits.take(organisation)), 'granted');
		assert.equal(kindOf(await permits.take(organisation)), 'quota-exceeded');
	});
});
