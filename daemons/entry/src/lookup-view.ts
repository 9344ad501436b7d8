/** What the look-up needs: the block table, the topology and the members of the fleet. */
import type {
	ClientBlock, ConfigurationSet, FailureDomainName, Instance, InstanceId, ObjectList, ServiceName, SiteName,
} from '@pomelopick/core.types';
import type {Member} from '@pomelopick/peer.membership';
import {
	BlockTable, groupEntries, listEntries, Topology,
} from '@pomelopick/steering.lookup';
import type {EntryGroups} from '@pomelopick/steering.lookup';

const MOST_NAMED = 4;

/** Options of {@link LookupView}. */
export interface LookupViewOptions {
	/** The fleet as the membership sees it. */
	readonly members: () => readonly Member[];
	/** Lets other work of the process go on. */
	readonly pause: () => Promise<void>;
}

/** Answers which entry instances a caller should use. */
export class LookupView {
	readonly #options: LookupViewOptions;
	#blocks: ObjectList<ClientBlock> = [];
	#table = BlockTable.empty;
	#prepared = BlockTable.empty;
	#topology: Topology | undefined;
	#services = new Set<ServiceName>();
	readonly #groups = new Map<FailureDomainName | undefined, EntryGroups>();
	#groupedMembers: readonly Member[] | undefined;
	#groupedTopology: Topology | undefined;
	#isolated: ReadonlySet<InstanceId> = new Set();

	constructor(options: LookupViewOptions) {
		this.#options = options;
	}

	/** The instances that the membership knows. */
	get members(): readonly Member[] {
		return this.#options.members();
	}

	/** Builds the block table of a set that is about to come into force; nothing to do when its blocks are the same list. */
	async prepare({clientBlocks}: ConfigurationSet): Promise<void> {
		if (clientBlocks !== this.#blocks) {
			this.#prepared = await BlockTable.build({blocks: [...clientBlocks], pause: this.#options.pause});
			this.#blocks = clientBlocks;
		}
	}

	/** Takes the set that was prepared last into use. */
	useSet(set: ConfigurationSet): void {
		this.#table = this.#prepared;
		this.#topology = new Topology(set);
		this.#services = new Set(set.services.map(({name}) => name));
	}

	/** Site of the longest block that holds the address. */
	findSite(address: string): SiteName | undefined {
		return this.#table.siteOf(address);
	}

	/** Whether a service is configured. */
	hasService(name: string): boolean {
		return this.#services.has(name as ServiceName);
	}

	/** Instances for a caller, best first. */
	entriesFor(address: string): readonly Instance[] {
		const topology = this.#topology;
		if (!topology) {
			return [];
		}

		const site = this.findSite(address);
		const groups = this.#groupsNear({topology, near: site && topology.domainOfSite(site)});
		const spread = hashAddress(address);
		const named = listEntries({groups, spread, most: MOST_NAMED});
		if (named.some(({id}) => !this.#isolated.has(id))) {
			return named;
		}

		// All of them stand in regions that are cut off from here: the best other one takes the last place.
		const reachable = listEntries({groups, spread, most: Number.POSITIVE_INFINITY}).find(({id}) => !this.#isolated.has(id));
		return reachable === undefined ? named : [...named.slice(0, MOST_NAMED - 1), reachable];
	}

	/** Groups of a place, kept until the membership or the topology changes. */
	#groupsNear({topology, near}: {readonly topology: Topology; readonly near: FailureDomainName | undefined}): EntryGroups {
		const members = this.#options.members();
		if (members !== this.#groupedMembers || topology !== this.#groupedTopology) {
			this.#groups.clear();
			this.#groupedMembers = members;
			this.#groupedTopology = topology;
			this.#isolated = new Set(members.filter(({isolated}) => isolated).map(({instance}) => instance.id));
		}

		const known = this.#groups.get(near);
		if (known) {
			return known;
		}

		const groups = groupEntries({candidates: members, near, topology});
		this.#groups.set(near, groups);
		return groups;
	}
}

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 2_147_483_647;

function hashAddress(address: string): number {
	let hash = 0;
	for (const character of address) {
		hash = ((hash * HASH_MULTIPLIER) + character.codePointAt(0)!) % HASH_MODULUS;
	}

	return hash;
}
