/** A fleet of processes whose paths between regions, and to the platform, can be cut region by region. */
import type {Endpoint, Instance} from '@pomelopick/core.types';
import type {SettingsInput} from '@pomelopick/config.settings';
import {startFaultProxy} from '@pomelopick/testing.fault-proxy';
import type {FaultProxy, PathFaults} from '@pomelopick/testing.fault-proxy';
import type {Deployment} from './deployment.js';
import {listFailureDomains} from './deployment.js';
import {startFleet} from './fleet.js';
import type {EntryProcess, Fleet} from './fleet.js';

/** Options of {@link startRegionalFleet}. */
export interface StartRegionalFleetOptions {
	readonly deployment: Deployment;
	readonly entries: number;
	readonly seed: number;
}

interface PeerPath {
	readonly proxy: FaultProxy;
	/** Port 0 until the instance listens. */
	readonly target: {address: string; port: number};
}

/** Starts a fleet in which each region has a loopback address of its own, from which its instances call the others. */
export async function startRegionalFleet({deployment, entries, seed}: StartRegionalFleetOptions): Promise<RegionalFleet> {
	const paths = new RegionalPaths({deployment, seed});
	const fleet = await startFleet({
		deployment,
		entries,
		adjustSettings: async settings => paths.adjustSettings(settings),
		adjustInstance: instance => paths.adjustInstance(instance),
	});
	return new RegionalFleet({fleet, paths});
}

/** A running fleet whose regions can be cut off. */
export class RegionalFleet {
	readonly fleet: Fleet;
	readonly #paths: RegionalPaths;

	constructor({fleet, paths}: {readonly fleet: Fleet; readonly paths: RegionalPaths}) {
		this.fleet = fleet;
		this.#paths = paths;
	}

	/** Instances of a region. */
	entriesIn(region: string): readonly EntryProcess[] {
		return this.fleet.entries.filter(({instance}) => this.#paths.regionOf(instance.failureDomain) === region);
	}

	/** Instances of the other regions. */
	entriesOutside(region: string): readonly EntryProcess[] {
		const inside = this.entriesIn(region);
		return this.fleet.entries.filter(entry => !inside.includes(entry));
	}

	/** Cuts a region off from the others, both ways, and from the platform when that is wanted. */
	async cut({region, cutsPlatform}: {readonly region: string; readonly cutsPlatform: boolean}): Promise<void> {
		this.#paths.cutPeers(region);
		await this.#paths.setPlatformPath({region, faults: {cut: cutsPlatform}});
	}

	/** Ends all cuts. */
	async heal(): Promise<void> {
		await this.#paths.heal();
	}

	/** Bytes that instances have sent each other so far, both ways. */
	get peerBytes(): number {
		return this.#paths.peerBytes;
	}

	/** Stops the fleet and its proxies. */
	async stop(): Promise<void> {
		await this.fleet.stop();
		await this.#paths.stop();
	}
}

class RegionalPaths {
	readonly #regionByDomain: ReadonlyMap<string, string>;
	readonly #regions: readonly string[];
	readonly #seed: number;
	readonly #peerPaths = new Map<string, PeerPath>();
	readonly #platformPaths = new Map<string, Promise<FaultProxy>>();

	constructor({deployment, seed}: {readonly deployment: Deployment; readonly seed: number}) {
		this.#regionByDomain = new Map(listFailureDomains(deployment).map(({name, region}) => [name, region]));
		this.#regions = [...new Set(this.#regionByDomain.values())];
		this.#seed = seed;
	}

	get peerBytes(): number {
		return [...this.#peerPaths.values()].reduce((total, {proxy}) => total + proxy.bytes, 0);
	}

	regionOf(failureDomain: string): string {
		return this.#regionByDomain.get(failureDomain)!;
	}

	async adjustSettings(settings: SettingsInput): Promise<SettingsInput> {
		const region = this.regionOf(settings.failureDomain);
		const address = this.#addressOf(region);
		const target = {address, port: 0};
		const proxy = await startFaultProxy({target, seed: this.#seed + this.#peerPaths.size});
		this.#peerPaths.set(settings.instance, {proxy, target});
		const platform = await this.#platformPathOf({region, target: settings.store});
		return {
			...settings,
			listen: {...settings.listen, peers: {address, port: 0}},
			peerSourceAddress: address,
			advertise: {peers: proxy.endpoint},
			store: platform.endpoint,
			instanceList: platform.endpoint,
		};
	}

	adjustInstance(instance: Instance): Instance {
		const {proxy, target} = this.#peerPaths.get(instance.id)!;
		target.port = instance.peers.port;
		return {...instance, peers: proxy.endpoint};
	}

	cutPeers(region: string): void {
		const inside = this.#addressOf(region);
		const outside = this.#regions.filter(other => other !== region).map(other => this.#addressOf(other));
		for (const {proxy, target} of this.#peerPaths.values()) {
			proxy.set({cutSources: target.address === inside ? outside : [inside]});
		}
	}

	async setPlatformPath({region, faults}: {readonly region: string; readonly faults: Partial<PathFaults>}): Promise<void> {
		const proxy = await this.#platformPaths.get(region)!;
		proxy.set(faults);
	}

	async heal(): Promise<void> {
		for (const {proxy} of this.#peerPaths.values()) {
			proxy.set({cutSources: []});
		}

		await Promise.all([...this.#platformPaths.keys()].map(async region => this.setPlatformPath({region, faults: {cut: false}})));
	}

	async stop(): Promise<void> {
		const platformPaths = await Promise.all(this.#platformPaths.values());
		await Promise.all([...[...this.#peerPaths.values()].map(({proxy}) => proxy), ...platformPaths].map(async proxy => proxy.stop()));
	}

	#addressOf(region: string): string {
		return `127.0.${this.#regions.indexOf(region) + 1}.1`;
	}

	async #platformPathOf({region, target}: {readonly region: string; readonly target: Endpoint}): Promise<FaultProxy> {
		const started = this.#platformPaths.get(region) ?? startFaultProxy({target, seed: this.#seed});
		this.#platformPaths.set(region, started);
		return started;
	}
}
