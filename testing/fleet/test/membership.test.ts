import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {pause, startControlNetwork, waitUntil} from '@pomelopick/testing.fleet';
import type {ControlNetwork, ControlNode} from '@pomelopick/testing.fleet';

const SEED = 4;
const NODES = 9;
/** Bound of "within seconds". */
const BOUND_MS = 5000;

const live = ({fleetView}: ControlNode): string[] => fleetView.membership.liveInstances().map(({id}) => id).sort();

describe('membership of nine nodes in three regions', () => {
	let network: ControlNetwork;
	const liveEverywhere = (count: number): boolean => network.nodes.every(node => live(node).length === count);
	const waitForLive = async (count: number): Promise<void> => waitUntil({
		description: `${count} live instances everywhere, found ${network.nodes.map(node => live(node).length).join(' ')}`, boundMs: BOUND_MS, holds: () => liveEverywhere(count),
	});

	before(async () => {
		network = await startControlNetwork({
			regions: ['highland', 'central', 'borders'], domainsPerRegion: 2, nodes: NODES, seed: SEED, withLinks: true,
		});
		await waitForLive(NODES);
	});
	after(async () => {
		await network.stop();
	});

	it('spreads a new version to all', async () => {
		await network.publish(network.configurationSet());
		await waitUntil({description: 'version 2 everywhere', boundMs: BOUND_MS, holds: () => network.nodes.every(({holder}) => holder.version === 2)});
	});

	it('chooses at most two watchers in each failure domain, and at least one', () => {
		const watchers = network.nodes.filter(({fleetView}) => fleetView.distribution.isWatcher).map(({instance}) => instance.failureDomain);
		for (const {name} of network.failureDomains) {
			const count = watchers.filter(domain => domain === name).length;
			assert.ok(count >= 1 && count <= 2, `${name} has ${count} watchers`);
		}
	});

	it('takes out an instance that leaves, before the platform lists it so', async () => {
		const node = network.nodes.at(-1)!;
		node.fleetView.membership.leave();
		await waitUntil({description: 'the leaving instance is taken out', boundMs: BOUND_MS, holds: () => network.nodes.every(other => !live(other).includes(node.instance.id))});
		await node.kill();
		network.remove(node);
		network.platform.instances.deregister(node.instance.id);
	});

	it('takes out an instance that dies, while the platform still lists it', async () => {
		const node = network.nodes.at(-1)!;
		await node.kill();
		network.remove(node);
		await waitForLive(NODES - 2);
		network.platform.instances.deregister(node.instance.id);
	});

	it('does not take a region for dead that is only cut off, on either side, and brings it versions when it is back', async () => {
		const cut = 'highland';
		network.setRegionFaults({region: cut, faults: {cut: true}});
		const endsAtMs = Date.now() + 6000;
		await pause(2500);
		await network.publish(network.configurationSet());
		while (Date.now() < endsAtMs) {
			assert.ok(liveEverywhere(NODES - 2), `live instances: ${network.nodes.map(node => live(node).length).join(' ')}`);
			await pause(100);
		}

		const outside = network.nodes.find(node => !network.nodesIn(cut).includes(node))!;
		const isolated = outside.fleetView.membership.members.filter(member => member.isolated).map(({instance}) => instance.id).sort();
		assert.deepEqual(isolated, network.nodesIn(cut).map(({instance}) => instance.id).sort());
		network.setRegionFaults({region: cut, faults: {cut: false}});
		await waitUntil({description: 'version 3 everywhere', boundMs: BOUND_MS, holds: () => network.nodes.every(({holder}) => holder.version === 3)});
		await waitUntil({description: 'nobody is isolated', boundMs: BOUND_MS, holds: () => network.nodes.every(({fleetView}) => fleetView.membership.members.every(member => !member.isolated))});
	});

	it('keeps its instances in an outage of the platform, and learns of a new one from the new one itself', async () => {
		network.platform.faults.outage = true;
		await pause(2500);
		assert.ok(liveEverywhere(NODES - 2));
		const node = await network.startNode({
			id: 'late', failureDomain: network.failureDomains[0]!.name, isListed: false, seeds: [network.nodes[0]!.peers.endpoint],
		});
		await waitForLive(NODES - 1);
		await waitUntil({description: 'the new instance has the version', boundMs: BOUND_MS, holds: () => node.holder.version === 3});
		await pause(500);
		const {ageMs} = node.fleetView.distribution.activeVersion;
		network.platform.faults.outage = false;
		assert.ok(ageMs > 2500, `the new instance says its view is ${ageMs} ms old in an outage of more than 2500 ms`);
	});

	it('tells when an instance is full', async () => {
		let load = 0;
		const node = await network.startNode({id: 'loaded', failureDomain: network.failureDomains[1]!.name, load: () => load});
		const loadsSeen = (): number[] => network.nodes.map(({fleetView}) => fleetView.membership.members.find(({instance}) => instance.id === node.instance.id)?.load ?? -1);
		load = 0.99;
		await waitUntil({description: 'the load is known everywhere', boundMs: BOUND_MS, holds: () => loadsSeen().every(seen => seen === 0.99)});
		load = 0.2;
		await waitUntil({description: 'the lower load is known everywhere', boundMs: BOUND_MS, holds: () => loadsSeen().every(seen => seen === 0.2)});
	});
});
