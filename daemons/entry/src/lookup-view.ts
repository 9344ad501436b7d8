/** The look-up of entry instances for a caller, based on the client blocks (address ranges with their sites), the topology and the members of the fleet. */
import type {
	ClientBlock, ConfigurationSet, FailureDomainName, Instance, InstanceId, ObjectList, ServiceName, SiteName,
} from '@pomelopick/core.types';
import type {Member} from '@pomelopick/peer.membership';
import {
	BlockTable, groupEntries, listEntries, Topology,
} from '@pomelopick/steering.lookup';
import type {EntryGroups} from '@pomelopick/steering.lookup';

/** Maximum number of instances that a look-up returns. */
const MAX_ENTRIES = 4;

/** Options of {@link LookupView}. */
export interface LookupViewOptions {
	/** Members of the fleet, as known by the membership. */
	readonly members: () => readonly Member[];
	/** Yields to other work of the process. */
	readonly pause: () => Promise<void>;
}

/** Chooses the entry instances that a caller should use. */
export class LookupView {
	readonly #options: LookupViewOptions;
	/** Blocks of the prepared table. */
	#blocks: ObjectList<ClientBlock> = [];
	#table = BlockTable.empty;
	#preparedTable = BlockTable.empty;
	#topology: Topology | undefined;
	#services = new Set<ServiceName>();
	/** Entry groups by the failure domain nearest to the caller. */
	readonly #groups = new Map<FailureDomainName | undefined, EntryGroups>();
	/** Members and topology from which the groups were built. */
	#groupedMembers: readonly Member[] | undefined;
	#groupedTopology: Topology | undefined;
	#isolated: ReadonlySet<InstanceId> = new Set();

	constructor(options: LookupViewOptions) {
		this.#options = options;
	}

	/** All members of the fleet, as known by the membership. */
	get members(): readonly Member[] {
		return this.#options.members();
	}

	/** Builds the block table of a configuration that is about to become active; skipped if its list of blocks is the same object as before. */
	async prepare({clientBlocks}: ConfigurationSet): Promise<void> {
		if (clientBlocks !== this.#blocks) {
			this.#preparedTable = await BlockTable.build({blocks: [...clientBlocks], pause: this.#options.pause});
			this.#blocks = clientBlocks;
		}
	}

	/** Activates the configuration that was prepared last. */
	useSet(set: ConfigurationSet): void {
		this.#table = this.#preparedTable;
		this.#topology = new Topology(set);
		this.#services = new Set(set.services.map(({name}) => name));
	}

	/** Returns the site of the longest block that contains the address. */
	findSite(address: string): SiteName | undefined {
		return this.#table.siteOf(address);
	}

	/** Whether a service is configured. */
	hasService(name: string): boolean {
		return this.#services.has(name as ServiceName);
	}

	/** Lists instances for a caller's address, best first. */
	entriesFor(address: string): readonly Instance[] {
		const topology = this.#topology;
		if (!topology) {
			return [];
		}

		const site = this.findSite(address);
		const groups = this.#groupsNear({topology, near: site && topology.domainOfSite(site)});
		const spread = hashAddress(address);
		const nearest = listEntries({groups, spread, most: MAX_ENTRIES});
		if (nearest.some(({id}) => !this.#isolated.has(id))) {
			return nearest;
		}

		// All of them are in regions that this instance cannot reach, so the best reachable instance replaces the last one.
		const reachable = listEntries({groups, spread, most: Number.POSITIVE_INFINITY}).find(({id}) => !this.#isolated.has(id));
		return reachable === undefined ? nearest : [...nearest.slice(0, MAX_ENTRIES - 1), reachable];
	}

	/** Returns the instances grouped by their distance from a failure domain; cached until the membership or the topology changes. */
	#groupsNear({topology, near}: {readonly topology: Topology; readonly near: FailureDomainName | undefined}): EntryGroups {
		const members = this.#options.members();
		if (members !== this.#groupedMembers || topology !== this.#groupedTopology) {
			this.#groups.clear();
			this.#groupedMembers = members;
			this.#groupedTopology = topology;
			this.#isolated = new Set(members.filter(({isolated}) => isolated).map(({instance}) => instance.id));
		}

		const cached = this.#groups.get(near);
		if (cached) {
			return cached;
		}

		const groups = groupEntries({candidates: members, near, topology});
		this.#groups.set(near, groups);
		return groups;
	}
}

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 2_147_483_647;

/** Hashes an address, so that callers of one site are spread over the instances. */
function hashAddress(address: string): number {
	let hash = 0;
	for (const character of address) {
		hash = ((hash * HASH_MULTIPLIER) + character.codePointAt(0)!) % HASH_MODULUS;
	}

	return hash;
}
