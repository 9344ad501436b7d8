/** What the look-up needs: the block table, the topology and the list of instances. */
import type {
	ConfigurationSet, Instance, InstanceId, ServiceName, SiteName,
} from '@pomelopick/core.types';
import type {InstanceList} from '@pomelopick/platform.instances';
import {BlockTable, orderEntries, Topology} from '@pomelopick/steering.lookup';

const REFRESH_MS = 1000;
const MOST_NAMED = 4;

/** Options of {@link LookupView}. */
export interface LookupViewOptions {
	readonly instanceList: InstanceList;
	readonly onFailure: (message: string) => void;
}

/** Answers which entry instances a caller should use. */
export class LookupView {
	readonly #options: LookupViewOptions;
	#table = new BlockTable({blocks: []});
	#topology: Topology | undefined;
	#services = new Set<ServiceName>();
	#instances: readonly Instance[] = [];
	#timer: NodeJS.Timeout | undefined;
	#isReading = false;
	#leaving: InstanceId | undefined;

	constructor(options: LookupViewOptions) {
		this.#options = options;
	}

	/** The instances that the platform's list names. */
	get instances(): readonly Instance[] {
		return this.#instances;
	}

	/** Takes a newer set into use. */
	useSet(set: ConfigurationSet): void {
		this.#table = new BlockTable({blocks: set.clientBlocks});
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
		const site = this.findSite(address);
		if (!this.#topology) {
			return [];
		}

		return orderEntries({
			candidates: this.#instances.filter(({id}) => id !== this.#leaving).map(instance => ({instance, load: 0, alive: true})),
			near: site && this.#topology.domainOfSite(site),
			topology: this.#topology,
			spread: hashAddress(address),
			most: MOST_NAMED,
		});
	}

	/** Leaves an instance out of all answers from now on: this one, which is about to stop. */
	leave(instance: InstanceId): void {
		this.#leaving = instance;
	}

	/** Starts reading the platform's list. */
	start(): void {
		void this.#refresh();
		this.#timer = setInterval(() => {
			void this.#refresh();
		}, REFRESH_MS);
	}

	/** Stops reading. */
	stop(): void {
		clearInterval(this.#timer);
	}

	async #refresh(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		const read = await this.#options.instanceList.read().run();
		this.#isReading = false;
		read.ifLeft(error => {
			this.#options.onFailure(error.message);
		}).ifRight(instances => {
			this.#instances = instances;
		});
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
