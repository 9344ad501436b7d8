/** Groups the usable servers of a service by region and ranks the servers of a region. */
import {hashTextToNumber, mixWeight} from '@pomelopick/core.rendezvous';
import type {RegionName, RegisteredServer} from '@pomelopick/core.types';
import type {KnownServer} from '@pomelopick/steering.servers';

/** Cached hashes of the names of servers, by entry. */
const nameHashes = new WeakMap<RegisteredServer, number>();

/** Servers of one region. */
export class RegionGroup {
	readonly region: RegionName;
	readonly #servers: readonly KnownServer[];
	readonly #hashes: readonly number[];

	constructor({region, servers}: {readonly region: RegionName; readonly servers: readonly KnownServer[]}) {
		this.region = region;
		this.#servers = servers;
		this.#hashes = servers.map(({server}) => hashOfName(server));
	}

	/** Total number of slots of the servers. */
	get slots(): number {
		return this.#servers.reduce((sum, {server}) => sum + server.slots, 0);
	}

	/** The servers in the order of their rank for an object. */
	rank(keyHash: number): readonly KnownServer[] {
		const weights = this.#hashes.map(ownerHash => mixWeight({keyHash, ownerHash}));
		const order = weights.map((_, position) => position);
		order.sort((left, right) => weights[right]! - weights[left]! || compareNames(this.#servers[left]!, this.#servers[right]!));
		return order.map(position => this.#servers[position]!);
	}
}

/** Groups servers by their regions. */
export function groupByRegion({servers, regionOf}: {readonly servers: readonly KnownServer[]; readonly regionOf: (known: KnownServer) => RegionName}): readonly RegionGroup[] {
	const groups = new Map<RegionName, KnownServer[]>();
	for (const known of servers) {
		const region = regionOf(known);
		const group = groups.get(region);
		if (group) {
			group.push(known);
		} else {
			groups.set(region, [known]);
		}
	}

	return [...groups].map(([region, group]) => new RegionGroup({region, servers: group}));
}

function hashOfName(server: RegisteredServer): number {
	const hash = nameHashes.get(server) ?? hashTextToNumber(server.name);
	nameHashes.set(server, hash);
	return hash;
}

function compareNames(left: KnownServer, right: KnownServer): number {
	return left.server.name < right.server.name ? -1 : 1;
}
