/** Control nodes in regions whose links between each other can be cut. */
import {checkConfigurationSet} from '@pomelopick/config.schema';
import type {ConfigurationSetInput} from '@pomelopick/config.schema';
import {publishConfiguration} from '@pomelopick/config.publishing';
import type {PublishOutcome} from '@pomelopick/config.publishing';
import type {Endpoint} from '@pomelopick/core.types';
import {PlatformStore} from '@pomelopick/platform.store';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import {startPlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import type {PlatformStandIn} from '@pomelopick/testing.platform-stand-in';
import {startControlNode} from './control-fleet.js';
import type {ControlNode} from './control-fleet.js';

const POLL_MS = 20;
/** Nodes that start at once; one processor carries all of them. */
const NODES_PER_BATCH = 20;
const BATCH_BOUND_MS = 30_000;

/** Options of {@link startControlNetwork}. */
export interface StartControlNetworkOptions {
	readonly regions: readonly string[];
	readonly domainsPerRegion: number;
	readonly nodes: number;
	readonly seed: number;
	/** Leads calls between regions through fault proxies. */
	readonly withLinks?: boolean;
	/** Changes the set before its first publish. */
	readonly adjustSet?: (set: ConfigurationSetInput) => ConfigurationSetInput;
}

interface Link {
	readonly from: string;
	readonly to: string;
	readonly proxy: FaultProxy;
}

/** Starts the platform, publishes a first version and starts the nodes, spread over the failure domains in turn. */
export async function startControlNetwork(options: StartControlNetworkOptions): Promise<ControlNetwork> {
	const network = new ControlNetwork({options, platform: await startPlatformStandIn()});
	await network.publish(network.configurationSet());
	for (let index = 0; index < options.nodes; index += 1) {
		await network.startNode({id: `node-${index + 1}`, failureDomain: network.failureDomains[index % network.failureDomains.length]!.name});
		if ((index + 1) % NODES_PER_BATCH === 0) {
			await waitUntil({
				description: `${index + 1} nodes know each other`, boundMs: BATCH_BOUND_MS, holds: () => network.nodes.every(({fleetView}) => fleetView.membership.liveInstances().length > index),
			});
		}
	}

	return network;
}

/** Options of {@link ControlNetwork.startNode}. */
export interface StartNodeOptions {
	readonly id: string;
	readonly failureDomain: string;
	readonly seeds?: readonly Endpoint[];
	readonly load?: () => number;
	/** Whether the platform's list names the node. */
	readonly isListed?: boolean;
}

/** Running control nodes. */
export class ControlNetwork {
	readonly nodes: ControlNode[] = [];
	readonly platform: PlatformStandIn;
	readonly #options: StartControlNetworkOptions;
	readonly #links: Link[] = [];
	readonly #proxyByPort = new Map<string, FaultProxy>();
	#nodesStarted = 0;

	constructor({options, platform}: {readonly options: StartControlNetworkOptions; readonly platform: PlatformStandIn}) {
		this.#options = options;
		this.platform = platform;
	}

	/** Failure domains, region by region in turn. */
	get failureDomains(): ReadonlyArray<{readonly name: string; readonly region: string}> {
		const {regions, domainsPerRegion} = this.#options;
		return Array.from({length: domainsPerRegion}, (_, index) => regions.map(region => ({name: `${region}-${index + 1}`, region}))).flat();
	}

	/** A set that describes the regions. */
	configurationSet(): ConfigurationSetInput {
		const set: ConfigurationSetInput = {
			regions: this.#options.regions.map(name => ({name})),
			failureDomains: this.failureDomains.map(({name, region}) => ({name, region})),
			sites: this.failureDomains.map(({name}) => ({name: `${name}-site`, failureDomain: name})),
			services: [{name: 'ledger'}],
			clientBlocks: [{prefix: '10.0.0.0/8', site: `${this.failureDomains[0]!.name}-site`}],
		};
		return this.#options.adjustSet?.(set) ?? set;
	}

	/** Publishes a set straight to the platform. */
	async publish(set: ConfigurationSetInput): Promise<PublishOutcome> {
		const store = new PlatformStore({endpoint: this.platform.endpoint});
		const published = await publishConfiguration({
			store, set: checkConfigurationSet(set).unsafeCoerce(), author: 'test', nowMs: Date.now(),
		}).run();
		await store.close();
		return published.unsafeCoerce();
	}

	/** Starts a node and lists it with the platform. */
	async startNode({id, failureDomain, seeds, load, isListed = true}: StartNodeOptions): Promise<ControlNode> {
		const region = this.#regionOf(failureDomain);
		this.#nodesStarted += 1;
		const node = await startControlNode({
			id,
			failureDomain,
			seeds,
			load,
			platform: this.platform.endpoint,
			seed: this.#options.seed + this.#nodesStarted,
			route: endpoint => this.#proxyByPort.get(`${region} ${endpoint.port}`)?.endpoint ?? endpoint,
		});
		this.nodes.push(node);
		if (this.#options.withLinks) {
			await this.#addLinks({node, region});
		}

		if (isListed) {
			this.platform.instances.register(node.instance);
		}

		return node;
	}

	/** Changes the faults of all links between a region and the others, both ways. */
	setRegionFaults({region, faults}: {readonly region: string; readonly faults: Partial<PathFaults>}): void {
		for (const {from, to, proxy} of this.#links) {
			if (from === region || to === region) {
				proxy.set(faults);
			}
		}
	}

	/** Nodes of a region. */
	nodesIn(region: string): readonly ControlNode[] {
		return this.nodes.filter(({instance}) => this.#regionOf(instance.failureDomain) === region);
	}

	/** Forgets a node that was stopped by the test. */
	remove(node: ControlNode): void {
		this.nodes.splice(this.nodes.indexOf(node), 1);
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		await Promise.all(this.nodes.map(async node => node.kill()));
		await Promise.all(this.#links.map(async ({proxy}) => proxy.stop()));
		await this.platform.stop();
	}

	async #addLinks({node, region}: {readonly node: ControlNode; readonly region: string}): Promise<void> {
		for (const from of this.#options.regions.filter(other => other !== region)) {
			const proxy = await startFaultProxy({target: node.peers.endpoint, seed: this.#options.seed});
			this.#links.push({from, to: region, proxy});
			this.#proxyByPort.set(`${from} ${node.peers.endpoint.port}`, proxy);
		}
	}

	#regionOf(failureDomain: string): string {
		return this.failureDomains.find(({name}) => name === failureDomain)!.region;
	}
}

/** Waits until a condition holds; throws with the description after the bound. */
export async function waitUntil({description, holds, boundMs}: {readonly description: string; readonly holds: () => boolean | Promise<boolean>; readonly boundMs: number}): Promise<void> {
	const endsAtMs = Date.now() + boundMs;
	while (!await holds()) {
		if (Date.now() > endsAtMs) {
			throw new Error(`${description}: not so within ${boundMs} ms`);
		}

		await pause(POLL_MS);
	}
}

/** Waits for a time, in milliseconds. */
export async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
