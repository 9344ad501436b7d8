/** Quotas of organisations on eight gateways, under overload and while gateways and the store fail. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '@pomelopick/testing.gateway-fleet';
import {
	calm, limited, PLAY_MS, startQuotaFleet,
} from './quota-fleet.js';
import type {QuotaFleet} from './quota-fleet.js';

const USUAL = 1 / 1.6;
const unlimited = {name: 'unlimited', keys: ['key-of-unlimited'], ratePerSecond: 0};
const unreadable = {name: 'unreadable', keys: ['key-of-unreadable'], ratePerSecond: -1};

describe('quotas of organisations', () => {
	let quotas: QuotaFleet;
	before(async () => {
		quotas = await startQuotaFleet();
	});
	after(async () => {
		await quotas.stop();
	});

	it('write nothing to the store while no organisation has one', async () => {
		await quotas.publish([unlimited]);
		await sleep(1500);
		assert.deepEqual(quotas.readShards(), []);
	});

	it('have four owners, which are four gateways', async () => {
		await quotas.publish([unlimited, limited, calm, unreadable]);
		await until(() => quotas.isSpread());
		await quotas.untilOwnersAreKnown(limited);
	});

	it('refuse nothing that is within them, at no gateway', async () => {
		const [usual, others] = await Promise.all([
			quotas.callers.send({
				organisation: limited, endpoints: quotas.endpoints, perSecond: limited.ratePerSecond * USUAL, durationMs: PLAY_MS,
			}),
			quotas.callers.send({
				organisation: unlimited, endpoints: quotas.endpoints, perSecond: 20, durationMs: PLAY_MS,
			}),
		]);
		assert.deepEqual([...usual, ...others].filter(({status}) => status !== 200), []);
	});

	it('refuse all requests of an organisation whose limit cannot be read', async () => {
		const calls = await quotas.callers.send({
			organisation: unreadable, endpoints: quotas.endpoints, perSecond: 20, durationMs: 500,
		});
		assert.deepEqual([...new Set(calls.map(({status, text, retryAfter}) => `${status} ${(JSON.parse(text) as {title: string}).title} ${retryAfter}`))], ['503 quota-unavailable 5.000']);
	});

	it('are used and kept under overload, and spare the others', async () => {
		const [served, others] = await Promise.all([
			quotas.overload(),
			quotas.callers.send({
				organisation: calm, endpoints: quotas.endpoints, perSecond: calm.ratePerSecond * USUAL, durationMs: PLAY_MS,
			}),
		]);
		assert.ok(served >= limited.ratePerSecond * 0.9, `served ${served} per second`);
		assert.deepEqual(others.filter(({status}) => status !== 200), []);
		const refused = quotas.callers.calls.filter(({requestId, status}) => requestId.startsWith('limited-') && status !== 200);
		assert.deepEqual([...new Set(refused.map(({status, retryAfter}) => `${status} ${Number(retryAfter) > 0}`))], ['429 true']);
		quotas.assertBound();
	});

	it('are used and kept when all callers are at two gateways', async () => {
		const served = await quotas.overload(quotas.endpoints.slice(0, 2));
		assert.ok(served >= limited.ratePerSecond * 0.8, `served ${served} per second`);
		quotas.assertBound();
	});

	it('are kept while owners are killed, frozen and started again', async () => {
		const playing = quotas.overload();
		await sleep(1500);
		const killed = quotas.gatewayOf(0);
		quotas.gateways[killed]!.signal('SIGKILL');
		const frozen = quotas.gatewayOf(1);
		quotas.gateways[frozen]!.signal('SIGSTOP');
		await sleep(1000);
		await quotas.start(killed);
		await sleep(1500);
		quotas.gateways[frozen]!.signal('SIGCONT');
		await playing;
		quotas.assertBound();
		await until(() => quotas.areShardsOwned());
	});

	it('are kept after an owner was gone for longer than its lease', async () => {
		const killed = quotas.gatewayOf(2);
		quotas.gateways[killed]!.signal('SIGKILL');
		const frozen = quotas.gatewayOf(3);
		quotas.gateways[frozen]!.signal('SIGSTOP');
		await quotas.overload(quotas.endpoints.filter((_, index) => index !== killed && index !== frozen));
		await sleep(3000);
		await quotas.start(killed);
		quotas.gateways[frozen]!.signal('SIGCONT');
		await quotas.overload();
		quotas.assertBound();
		await until(() => quotas.areShardsOwned());
	});

	it('are used and kept while the store is away', async () => {
		await sleep(12_000);
		quotas.fleet.platform.faults.outage = true;
		await sleep(6000);
		const served = await quotas.overload();
		quotas.fleet.platform.faults.outage = false;
		assert.ok(served >= limited.ratePerSecond * 0.6, `served ${served} per second`);
		quotas.assertBound();
		await until(() => quotas.areShardsOwned());
	});

	it('are taken up again at once when the store is back', async () => {
		await sleep(3000);
		const served = await quotas.overload();
		assert.ok(served >= limited.ratePerSecond * 0.9, `served ${served} per second`);
		quotas.assertBound();
	});

	it('end no gateway by an error', () => {
		assert.deepEqual(quotas.gateways.flatMap(({errors}) => errors), []);
	});
});
