/** Guards against quotas that are exceeded, or not served any more, when a limit is lowered and when gateways are suspended or partitioned, all under overload. */
import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callGateway, endpointOf, partitionFlags, setPartition, until,
} from '@pomelopick/testing.gateway-fleet';
import type {Partition} from '@pomelopick/testing.gateway-fleet';
import {limited, PLAY_MS, startQuotaFleet} from './quota-fleet.js';
import type {QuotaFleet} from './quota-fleet.js';

/** Share of the limit that is served while no gateway reaches the store. */
const WITHOUT_STORE = 0.6;
/** Age from which owners use their claims without the store, and time after which all gateways have lost it for longer than their lease, in milliseconds. */
const CLAIM_AGE_MS = 14_000;
const STORE_LOST_MS = 6000;
/** Time for which an overload lasts after a fault has ended, in milliseconds. */
const AFTER_MS = 2000;
const MAX_OVERLOAD_MS = 40_000;
/** Quota with a small burst, so that the bound is close to the rate, and the same with a lower limit. */
const strict = {...limited, burst: 10};
const lowered = {...strict, ratePerSecond: 10};

describe('quotas of organisations under overload', () => {
	let quotas: QuotaFleet;
	let claimedAtMs = 0;
	before(async () => {
		quotas = await startQuotaFleet({engineFlags: partitionFlags});
		await quotas.publish([strict]);
		await until(() => quotas.isSpread());
		claimedAtMs = performance.now();
	});
	after(async () => {
		await quotas.stop();
	});

	/** Sends an overload during an action and for a while after it, and checks the bound. */
	const overloadDuring = async (action: () => Promise<void>): Promise<void> => {
		const end = new AbortController();
		const sending = quotas.sendOverload({durationMs: MAX_OVERLOAD_MS, end: end.signal});
		try {
			await action();
			await sleep(AFTER_MS);
		} finally {
			end.abort();
			await sending;
		}

		quotas.assertBound({quota: strict});
	};

	/** Waits until a gateway serves requests of the organisation. */
	const untilServed = async (gateway: number): Promise<void> => until(async () => {
		const {status} = await callGateway({endpoint: quotas.endpoints[gateway]!, key: strict.keys[0]});
		return status === 200;
	});

	/** Cuts gateways off from ports, or, with none, ends that. */
	const partition = async ({gateways, ports, ...shape}: Partition & {readonly gateways: readonly number[]}): Promise<void> => {
		await Promise.all(gateways.map(async gateway => setPartition({settingsPath: quotas.gateways[gateway]!.settingsPath, partition: {ports, ...shape}})));
	};

	const allGateways = (): readonly number[] => [...quotas.gateways.keys()];
	const heal = async (): Promise<void> => partition({
		gateways: allGateways(), ports: [], open: 'works', connecting: 'refused',
	});
	const peerPorts = (gateways: readonly number[]): readonly number[] => gateways.map(gateway => endpointOf(quotas.settings[gateway]!.listen.peers).port);
	const storePort = (): number => quotas.fleet.platform.endpoint.port;

	it('are kept from one window after all instances know a lower limit', async () => {
		let knownAtMs = 0;
		await overloadDuring(async () => {
			await sleep(AFTER_MS);
			await quotas.publish([lowered]);
			knownAtMs = performance.now();
			await sleep(PLAY_MS);
		});
		quotas.assertBound({quota: lowered, sinceMs: knownAtMs});
		await quotas.publish([strict]);
	});

	it('are kept while no gateway reaches another and all reach the store', async () => {
		await overloadDuring(async () => {
			await partition({
				gateways: allGateways(), ports: peerPorts(allGateways()), open: 'silent', connecting: 'hangs',
			});
			await sleep(PLAY_MS);
			await heal();
		});
		await Promise.all(allGateways().map(async gateway => untilServed(gateway)));
	});

	it('are kept while two halves of the gateways do not reach each other', async () => {
		const halves = [0, 1].map(half => allGateways().filter(gateway => gateway % 2 === half));
		await overloadDuring(async () => {
			await Promise.all(halves.map(async (gateways, half) => partition({
				gateways, ports: peerPorts(halves[1 - half]!), open: 'reset', connecting: 'refused',
			})));
			await sleep(PLAY_MS);
			await heal();
		});
		await Promise.all(allGateways().map(async gateway => untilServed(gateway)));
	});

	it('are used and kept while no gateway reaches the store', async () => {
		await sleep(claimedAtMs + CLAIM_AGE_MS - performance.now());
		await partition({
			gateways: allGateways(), ports: [storePort()], open: 'silent', connecting: 'hangs',
		});
		await sleep(STORE_LOST_MS);
		const served = await quotas.overload();
		await overloadDuring(heal);
		assert.ok(served >= strict.ratePerSecond * WITHOUT_STORE, `served ${served} per second`);
		await until(() => quotas.areShardsOwned());
	});

	it('are kept when owners run on that were suspended for less than their lease', async () => {
		const suspended = [quotas.gatewayOf(0), quotas.gatewayOf(1)];
		await overloadDuring(async () => {
			await suspend(suspended, async () => sleep(3000));
		});
		await Promise.all(suspended.map(async gateway => untilServed(gateway)));
	});

	it('are kept when an owner runs on that was suspended until another claimed its shard', async () => {
		const suspended = quotas.gatewayOf(0);
		await overloadDuring(async () => {
			await suspend([suspended], async () => until(() => quotas.gatewayOf(0) !== suspended));
		});
		await untilServed(suspended);
		await until(() => quotas.areShardsOwned());
	});

	it('are kept while owners reach neither the store nor, but for one, other gateways, until others claimed their shards', async () => {
		const shards = [1, 2, 3];
		const owners = shards.map(shard => quotas.gatewayOf(shard));
		await overloadDuring(async () => {
			await Promise.all(owners.map(async (gateway, index) => partition({
				gateways: [gateway], ports: index === 0 ? [storePort()] : [storePort(), ...peerPorts(allGateways())], open: 'silent', connecting: 'hangs',
			})));
			await until(() => shards.every(shard => !owners.includes(quotas.gatewayOf(shard))));
			await sleep(PLAY_MS);
			await heal();
		});
		await Promise.all(owners.map(async gateway => untilServed(gateway)));
		await until(() => quotas.areShardsOwned());
	});

	it('end no gateway by an error', () => {
		assert.deepEqual(quotas.gateways.flatMap(({errors}) => errors), []);
	});

	/** Suspends gateways during an action. */
	const suspend = async (gateways: readonly number[], action: () => Promise<unknown>): Promise<void> => {
		for (const gateway of gateways) {
			quotas.gateways[gateway]!.signal('SIGSTOP');
		}

		try {
			await action();
		} finally {
			for (const gateway of gateways) {
				quotas.gateways[gateway]!.signal('SIGCONT');
			}
		}
	};
});
