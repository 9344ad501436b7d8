import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {createPlannedSet, plannedSize} from '@pomelopick/config.examples';
import {CHUNK_PREFIX, publishConfiguration} from '@pomelopick/config.publishing';
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {
	FailureDomainName, Instance, InstanceId,
} from '@pomelopick/core.types';
import {PeerClients, startPeerServer} from '@pomelopick/peer.transport';
import type {PeerServer} from '@pomelopick/peer.transport';
import {PlatformStore} from '@pomelopick/platform.store';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {ConfigurationHolder, Distribution} from '@pomelopick/config.distribution';

const ARRIVAL_TIMEOUT_MS = 30_000;
const POLL_MS = 20;
const READS_PER_SECOND = 30;
const RATE_WINDOW_MS = 1100;
/** Each of two instances reads the root once or twice. */
const MAX_READS_WITH_PEERS = 4;

const set = checkConfigurationSet(createPlannedSet({seed: 1, size: {...plannedSize, clientBlocks: 30_000}})).unsafeCoerce();

interface Node {
	readonly instance: Instance;
	readonly holder: ConfigurationHolder;
	stop(): Promise<void>;
}

describe('Distribution of a whole set', () => {
	let platform: PlatformStandIn;
	const nodes: Node[] = [];

	const startNode = async (id: string): Promise<Node> => {
		const store = new PlatformStore({endpoint: platform.endpoint});
		const holder = new ConfigurationHolder();
		const clients = new PeerClients();
		const distribution = new Distribution({
			self: id as InstanceId,
			store,
			clients,
			holder,
			liveInstances: () => nodes.map(({instance}) => instance),
			now: () => performance.now(),
			random: () => 0,
			prepare: async () => undefined,
			onFailure: () => undefined,
			onDamagedChunk: () => undefined,
		});
		const server: PeerServer = await startPeerServer({
			endpoint: {address: '127.0.0.1', port: 0}, register(router) {
				distribution.register(router);
			},
		});
		const instance: Instance = {
			id: id as InstanceId, failureDomain: 'north-1' as FailureDomainName, state: 'live', callers: server.endpoint, peers: server.endpoint, operators: server.endpoint,
		};
		const node: Node = {
			instance, holder, async stop() {
				await distribution.stop();
				clients.close();
				await Promise.all([server.stop(), store.close()]);
			},
		};
		nodes.push(node);
		distribution.start();
		return node;
	};

	const waitForVersion = async ({holder}: Node): Promise<void> => {
		const endsAtMs = performance.now() + ARRIVAL_TIMEOUT_MS;
		while (holder.version === 0) {
			assert.ok(performance.now() < endsAtMs, `no version within ${ARRIVAL_TIMEOUT_MS} ms`);
			await sleep(POLL_MS);
		}
	};

	beforeEach(async () => {
		platform = await startPlatformStandIn({limits: {readsPerSecond: READS_PER_SECOND, writesPerSecond: 1000}});
	});

	afterEach(async () => {
		await Promise.all(nodes.splice(0).map(async node => node.stop()));
		await platform.stop();
	});

	const publish = async (): Promise<void> => {
		const unlimited = await startPlatformStandIn({limits: {readsPerSecond: 10_000, writesPerSecond: 10_000}});
		const store = new PlatformStore({endpoint: unlimited.endpoint});
		const outcome = await publishConfiguration({
			store, set, author: 'test', nowMs: 0,
		}).run();
		assert.equal(outcome.map(({kind}) => kind).orDefault('undecided'), 'accepted');
		for (const {key, value} of unlimited.keyValues.read({key: '', recurse: true})) {
			platform.keyValues.put({key, value});
		}

		await store.close();
		await unlimited.stop();
	};

	it('succeeds although the store refuses most reads because of the rate limit', async () => {
		await publish();
		await waitForVersion(await startNode('one'));
		const chunks = platform.keyValues.read({key: CHUNK_PREFIX, recurse: true}).length;
		assert.ok(chunks > READS_PER_SECOND, `${chunks} chunks`);
	});

	it('reads from peers that have the set, with few reads of the store', async () => {
		await publish();
		await waitForVersion(await startNode('one'));
		// Wait until the rate limit no longer refuses reads: refused ones would be missing from the count.
		await sleep(RATE_WINDOW_MS);
		const readsBefore = platform.counters.reads;
		await waitForVersion(await startNode('two'));
		assert.ok(platform.counters.reads - readsBefore <= MAX_READS_WITH_PEERS, `${platform.counters.reads - readsBefore} reads`);
	});
});
